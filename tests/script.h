/* script: what the scripted programs share: a line of commands as words. */
#ifndef SCRIPT_H
#define SCRIPT_H

#include <stdbool.h>
#include <stdio.h>
#include <string.h>

/* Cut LINE into at most MOST words, in place; the count of them, 0 for an
   empty line and for a comment ("# ..."). */
static inline int
script_split(char *line, char **words, int most)
{
    int count = 0;
    char *save;
    for (char *w = strtok_r(line, " \n", &save); w && count < most;
         w = strtok_r(NULL, " \n", &save)) {
        words[count++] = w;
    }
    return count > 0 && words[0][0] == '#' ? 0 : count;
}

#define SCRIPT_WORDS 10 /* of a line, at most */

/* RUN_LINE each line of standard input; it returns false for a command that
   it doesn't know.  The program's exit status. */
static inline int
script_run(bool (*run_line)(void *ctx, char **words, int count), void *ctx)
{
    char line[256];
    while (fgets(line, sizeof(line), stdin)) {
        char *words[SCRIPT_WORDS];
        int count = script_split(line, words, SCRIPT_WORDS);
        if (count > 0 && !run_line(ctx, words, count)) {
            fprintf(stderr, "what is '%s'?\n", words[0]);
            return 2;
        }
    }
    return 0;
}

#endif
