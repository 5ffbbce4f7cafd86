/* suspects_internal: state of sp, for the suspects*.c files only.  Calls go
   one way, each file to those above it: suspects           rows, verdicts
     suspects_evidence  proofs, the count of ends, what explains which ends
     suspects_turns     the leader: turns, results
     suspects_note      the note of the lease record
     suspects_sender    the gateway that sends: questions for turns, results */
#ifndef SUSPECTS_INTERNAL_H
#define SUSPECTS_INTERNAL_H

#include "suspects.h"

#define SP_MIN_WAIT_MS 20 /* from one refused turn to the next question */
#define SP_SEEN_ENDS 8

typedef struct {
    SpTurn id; /* 0: none */
    char *upstream;
    uint64_t request; /* that runs in it */
    uint64_t since_ms;
    uint64_t until_ms;
    bool solo;
    bool late; /* counted in late_runs */
    bool left; /* the call was cancelled */
} Turn;

typedef struct {
    uint64_t request; /* digest, or the key of a part */
    bool part;
    bool many;     /* a part: under more than one request */
    bool tied;     /* a part: other parts explain all its ends */
    uint64_t by;   /* a part: the first request under which it ended one */
    uint32_t ends; /* 0: cleared */
    uint32_t solo_ends;
    uint32_t late_runs;
    uint64_t hold_until_ms;
    uint64_t cleared_ms; /* 0: never; ends before don't count */
    uint64_t last_ms;    /* last end, or when it was cleared */
    uint64_t used_ms;    /* last end, or request for a turn */
    uint32_t asked;      /* turns: one that comes again and again has many */
    uint64_t third_ms;
    bool own;     /* an end was seen here */
    bool changed; /* not yet published */
    Turn turn;    /* the leader's, or a gateway's that is alone */
    Turn past; /* of a call that was cancelled, or of a gateway that is gone:
                  until_ms is when it counts as run well */
    SpTurn last_turn;
    uint32_t seen[SP_SEEN_ENDS]; /* upstreams' hashes */
    uint64_t seen_ms[SP_SEEN_ENDS];
    bool seen_solo[SP_SEEN_ENDS]; /* sure to be its own */
    uint32_t next_seen;
    uint64_t solo_at_ms; /* the last end that is sure to be its own */
    /* of the requests here */
    SpTurn here;       /* one of them has or asks a turn */
    uint64_t retry_ms; /* no question before */
} Suspect;

/* A turn that a request here has or asks. */
typedef struct {
    SpKeys keys;
    char *upstream;
    uint64_t asked_ms;
    bool granted;
    bool used;
} Ticket;

typedef struct {
    SpKeys keys;
    char *upstream;
    uint64_t at_ms;
} Left;

/* A proof that the leader is to be told of. */
typedef struct {
    uint64_t part;
    uint64_t due_ms;
} Proof;

/* The last end of an upstream. */
typedef struct {
    uint64_t at_ms;
    bool blamed;     /* on what ran there in a solo turn */
    uint64_t beside; /* another suspect that ran there; 0: none */
    uint64_t part;   /* a stopped part that ran there; 0: none */
} UpstreamEnd;

/* The suspects among the keys of a request. */
typedef struct {
    Suspect *rows[SP_MAX_PARTS + 1];
    uint32_t count;
} SuspectList;

struct Sp {
    GHashTable *rows;    /* request -> Suspect */
    GHashTable *tickets; /* SpTurn -> Ticket */
    GHashTable *ends;    /* upstream -> UpstreamEnd */
    GQueue left;         /* Left, the oldest first */
    GArray *changed;     /* uint64_t: requests */
    uint64_t lead_ms;
    uint64_t swept_ms;
    uint32_t suspects; /* rows with ends */
    /* Parts that whole answers proved: since PROVED_MS, and in the span of
       SP_PROOF_MS / 2 before it. */
    GHashTable *proved;
    GHashTable *proved_before;
    uint64_t proved_ms;
    GHashTable *doubted; /* part -> uint64_t: in doubt since */
    uint64_t now_ms;     /* of the last tick */
    GArray *proofs;      /* Proof */
    BgRandom rng;
};

/* suspects */
Suspect *sp_find_row(const Sp *s, uint64_t key);
/* The row of KEY, a new one if there is none. */
Suspect *sp_add_row(Sp *s, uint64_t key, bool part);
/* The rows of a request may be added then without dropping others. */
void sp_make_room(Sp *s);
/* Keeps Sp.suspects in step. */
void sp_set_ends(Sp *s, Suspect *x, uint32_t ends);
void sp_note_changed(Sp *s, Suspect *x);
uint32_t sp_get_time_left(uint64_t until_ms, uint64_t now_ms);
bool sp_is_proved(const Sp *s, uint64_t part);
void sp_list_suspects(const Sp *s, const SpKeys *keys, SuspectList *out);
/* For which of L it is stopped, for *WAIT_MS; NULL: for none. */
const Suspect *sp_find_stop(const SuspectList *l, uint64_t now_ms,
                            uint32_t *wait_ms);
/* No ends count for X any more. */
void sp_clear_row(Sp *s, Suspect *x, uint64_t now_ms);
void sp_free_left(void *left);

/* suspects_evidence */
/* Proofs older than SP_PROOF_MS go. */
void sp_renew_proofs(Sp *s, uint64_t now_ms);
/* A whole answer with those parts came. */
void sp_prove(Sp *s, uint64_t now_ms, const SpKeys *keys);
/* Whether the evidence is enough for a stop. */
bool sp_is_sure(const Suspect *x);
/* Stops X if its ends are enough. */
void sp_stop(Suspect *x, uint64_t now_ms);
/* When an end of UPSTREAM was last counted for X; 0: not among the last. */
uint64_t sp_get_seen_ms(const Suspect *x, const char *upstream);
/* That end of UPSTREAM, reported first at AT_MS, was counted for X. */
void sp_note_seen(Suspect *x, uint64_t at_ms, const char *upstream, bool solo);
/* REQUEST ran, with the part X.  SOLO, LATE: as the turn of the run was. */
void sp_count_end(Sp *s, Suspect *x, uint64_t now_ms, uint64_t request,
                  bool solo, bool late);
/* The end of UPSTREAM, of a run that began after SINCE_MS, is reported. */
UpstreamEnd *sp_note_upstream_end(Sp *s, uint64_t now_ms, const char *upstream,
                                  uint64_t since_ms);
bool sp_has_ended_since(const Sp *s, const char *upstream, uint64_t since_ms);
/* X, a suspect of some ends before this one, ran there without a solo turn. */
void sp_note_beside(Sp *s, UpstreamEnd *e, const Suspect *x);
/* Whether the end is sure to be that of X, which ran there in a solo turn. */
bool sp_take_blame(UpstreamEnd *e, Suspect *x);
/* The ends of parts changed: which of them explain which. */
void sp_weigh_parts(Sp *s, uint64_t now_ms);

/* suspects_turns */
/* UPSTREAM ended under REQUEST; KEY: its digest, or a part.  BLAMED: no call
   broke off. */
typedef struct {
    const char *upstream;
    SpTurn turn;
    uint64_t request;
    bool blamed;
} RunEnd;
void sp_note_end(Sp *s, uint64_t now_ms, uint64_t key, bool part,
                 const RunEnd *end);
/* The same for all KEYS. */
void sp_note_ends(Sp *s, uint64_t now_ms, const SpKeys *keys, RunEnd end);

#endif
