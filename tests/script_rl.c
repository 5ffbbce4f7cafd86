/* Runs the plan of relays (rl) for the gateways of a script.  One command a
   line:

     params DIRECT MEMBERS MOVES   as RlParams; begins a scenario
     peer VM DATA_CENTRE FITNESS MEMBERS [leaving] [unreachable RELAY]
     plan                          prints the moves of VMs to relays, sorted */
#include "relay_plan.h"
#include "script.h"

#include <stdio.h>
#include <stdlib.h>

typedef struct {
    RlParams params;
    GArray *peers;    /* RlPeer */
    GPtrArray *moves; /* char *, the last plan, a line each */
} Script;

static void
clear_peer(void *peer)
{
    RlPeer *p = peer;
    g_free((char *)p->vm);
    g_free((char *)p->data_centre);
    g_free((char *)p->address);
    g_free((char *)p->unreachable_relay);
}

static void
read_peer(Script *s, char **words, int count)
{
    RlPeer p = {.vm = g_strdup(words[1]),
                .data_centre = g_strdup(words[2]),
                .address = g_strdup(words[1]),
                .fitness = (uint32_t)strtoul(words[3], NULL, 10),
                .members = (uint32_t)strtoul(words[4], NULL, 10)};
    for (int i = 5; i < count; i++) {
        p.leaving = p.leaving || strcmp(words[i], "leaving") == 0;
        if (strcmp(words[i], "unreachable") == 0 && i + 1 < count) {
            p.unreachable_relay = g_strdup(words[i + 1]);
        }
    }
    g_array_append_val(s->peers, p);
}

static void
note_move(void *ctx, size_t which, const char *address)
{
    Script *s = ctx;
    const RlPeer *p = &g_array_index(s->peers, RlPeer, which);
    g_ptr_array_add(s->moves, g_strdup_printf("%s to %s", p->vm, address));
}

static gint
compare_lines(gconstpointer a, gconstpointer b)
{
    return strcmp(*(char *const *)a, *(char *const *)b);
}

static void
print_plan(Script *s)
{
    g_ptr_array_set_size(s->moves, 0);
    rl_plan(&s->params, (RlPeer *)s->peers->data, s->peers->len, note_move, s);
    g_ptr_array_sort(s->moves, compare_lines);
    puts("plan:");
    for (guint i = 0; i < s->moves->len; i++) {
        printf("  %s\n", (const char *)s->moves->pdata[i]);
    }
}

static bool
run_line(void *ctx, char **words, int count)
{
    Script *s = ctx;
    if (strcmp(words[0], "params") == 0 && count == 4) {
        s->params = (RlParams){(uint32_t)strtoul(words[1], NULL, 10),
                               (uint32_t)strtoul(words[2], NULL, 10),
                               (uint32_t)strtoul(words[3], NULL, 10)};
        g_array_set_size(s->peers, 0);
    }
    else if (strcmp(words[0], "peer") == 0 && count >= 5) {
        read_peer(s, words, count);
    }
    else if (strcmp(words[0], "plan") == 0) {
        print_plan(s);
    }
    else {
        return false;
    }
    return true;
}

int
main(void)
{
    Script s = {.peers = g_array_new(FALSE, FALSE, sizeof(RlPeer)),
                .moves = g_ptr_array_new_with_free_func(g_free)};
    g_array_set_clear_func(s.peers, clear_peer);
    int status = script_run(run_line, &s);
    g_array_free(s.peers, TRUE);
    g_ptr_array_free(s.moves, TRUE);
    return status;
}
