/* suspects_internal: state of sp, for the suspects*.c files only:
     suspects         rows, the count of ends, the leader's turns, the note
     suspects_sender  the gateway that sends: questions for turns, results */
#ifndef SUSPECTS_INTERNAL_H
#define SUSPECTS_INTERNAL_H

#include "suspects.h"

#define SP_MIN_WAIT_MS 20 /* from one refused turn to the next question */
#define SP_SEEN_ENDS 8

typedef struct {
    SpTurn id; /* 0: none */
    char *upstream;
    uint64_t since_ms;
    uint64_t until_ms;
    bool solo;
    bool late; /* counted in late_runs */
    bool left; /* the call was cancelled */
} Turn;

typedef struct {
    uint64_t request;
    uint32_t ends; /* 0: cleared */
    uint32_t solo_ends;
    uint32_t late_runs;
    uint64_t hold_until_ms;
    uint64_t last_ms; /* last end, or when it was cleared */
    uint64_t used_ms; /* last end, or request for a turn */
    uint32_t asked;   /* turns: one that comes again and again has many */
    uint64_t third_ms;
    bool own;     /* an end was seen here */
    bool changed; /* not yet published */
    Turn turn;    /* the leader's, or a gateway's that is alone */
    Turn past; /* of a call that was cancelled, or of a gateway that is gone:
                  until_ms is when it counts as run well */
    SpTurn last_turn;
    uint32_t seen[SP_SEEN_ENDS]; /* upstreams' hashes */
    uint64_t seen_ms[SP_SEEN_ENDS];
    uint32_t next_seen;
    /* of the copies here */
    SpTurn here;       /* one of them has or asks a turn */
    uint64_t retry_ms; /* no question before */
} Suspect;

/* A turn that a copy here has or asks. */
typedef struct {
    uint64_t request;
    char *upstream;
    uint64_t asked_ms;
    bool granted;
    bool used;
} Ticket;

typedef struct {
    uint64_t request;
    char *upstream;
    uint64_t at_ms;
} Left;

/* The last end of an upstream. */
typedef struct {
    uint64_t at_ms;
    uint64_t blamed; /* the suspect that ran there in a solo turn; 0: none */
    uint64_t beside; /* another suspect that ran there; 0: none */
} UpstreamEnd;

struct Sp {
    GHashTable *rows;    /* request -> Suspect */
    GHashTable *tickets; /* SpTurn -> Ticket */
    GHashTable *ends;    /* upstream -> UpstreamEnd */
    GQueue left;         /* Left, the oldest first */
    GArray *changed;     /* uint64_t: requests */
    uint64_t lead_ms;
    uint64_t swept_ms;
    uint32_t suspects; /* rows with ends */
    BgRandom rng;
};

/* suspects */
Suspect *sp_find_row(const Sp *s, uint64_t request);
/* The row of REQUEST, a new one if there is none. */
Suspect *sp_add_row(Sp *s, uint64_t request);
uint32_t sp_get_time_left(uint64_t until_ms, uint64_t now_ms);
/* No ends count for X any more. */
void sp_clear_row(Sp *s, Suspect *x, uint64_t now_ms);
/* SOLO, LATE: as the turn of the run was. */
void sp_count_end(Sp *s, Suspect *x, uint64_t now_ms, bool solo, bool late);
/* The end of UPSTREAM, of a run that began after SINCE_MS, is reported. */
UpstreamEnd *sp_note_upstream_end(Sp *s, uint64_t now_ms, const char *upstream,
                                  uint64_t since_ms);
/* UPSTREAM ended under REQUEST.  BLAMED: no call broke off. */
void sp_note_end(Sp *s, uint64_t now_ms, uint64_t request,
                 const char *upstream, SpTurn turn, bool blamed);
void sp_free_left(void *left);

#endif
