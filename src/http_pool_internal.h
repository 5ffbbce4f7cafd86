/* http_pool_internal: connections and calls of the client, for the
   http_*.c files only. */
#ifndef HTTP_POOL_INTERNAL_H
#define HTTP_POOL_INTERNAL_H

#include "http_internal.h"

/* Helpers asked for one call: a cut may take in the first, of the same data
   centre, and by chance another. */
#define HT_MAX_HELPERS 3

typedef struct HtConn HtConn;

/* One connection of the pool. */
struct HtConn {
    HtPool *pool;
    uint64_t number; /* in the pool, from 1 */
    uint32_t calls;  /* that it carried, with the current one */
    GArray *ids;     /* uint32_t: digests of the ids that were written to it */
    char *address;
    char *helper; /* the gateway by whose way it goes; NULL: none */
    int fd;
    ev_io read_watch;
    ev_io write_watch;
    http_parser parser;
    HtMessage msg;
    HtCall *call;   /* NULL: idle, or not open yet */
    HtCall *opener; /* until it is open: the call it is opened for; NULL: it is
                       a probe */
    GByteArray *framed; /* input of a helper, up to an incomplete frame */
    HtWay way;
    bool connecting;
    bool asking; /* the helper has not answered yet */
    bool reusable;
    bool carried; /* bytes of a former call */
    bool skipped; /* the message being read is interim or another call's */
    bool in_body; /* the head of the message being read is over */
    size_t before_head_bytes; /* since the last head that is not interim */
    size_t skipped_bytes;     /* of bodies */
    bool got_message;  /* all that the answer's framing announced came */
    bool too_large;    /* the answer has more bytes than are kept */
    bool garbled;      /* the answer's body holds a part of another answer */
    const char *input; /* being parsed */
    const char *input_end;
    bool input_over; /* no more comes: the connection was closed in order */
    char last_byte;  /* of the input before that */
    bool line_ended; /* the next byte of the body follows a line: the head, or
                        the size of a chunk */
    size_t chunk_end_due; /* bytes of the line end behind a chunk, which come
                             with the next input */
    GByteArray *rest;     /* bytes behind a held answer */
    uint64_t held_ms;  /* the answer is over, but the next bytes may show that
                          it broke off: since; 0: it isn't so */
    bool parsing;      /* inside the parser's callbacks */
    bool cancelled;    /* by a handler, inside the parser's callbacks */
    bool unframing;    /* inside the loop over a helper's frames */
    bool closed;       /* meanwhile: freed after that loop */
    uint32_t keep_ms;  /* how long it may be idle */
    uint64_t since_ms; /* idle, or opening, since */
    uint64_t
        opened_ms; /* it was open at the latest then; 0: no call used it */
    GList *link;   /* in the pool's conns */
};

struct HtCall {
    HtPool *pool;
    HtConn *conn; /* that it is sent on; NULL: none yet */
    /* Until then: those being opened for it; the first to open is used. */
    HtConn *direct;
    HtConn *detours[HT_MAX_HELPERS];
    HtCallHandler handler;
    GByteArray *request;
    Ae *answer;
    size_t sent;
    uint64_t answer_by_ms; /* as in HtRequest */
    uint32_t connect_ms;
    uint64_t begun_ms;
    uint64_t detour_at_ms; /* when to ask a helper too, or one more */
    uint64_t sent_ms;      /* the first byte */
    GPtrArray *helpers;    /* char *: addresses of those asked */
    uint32_t no_paths;     /* of these, have no path to the upstream */
    char *address;
    char *match_name;
    char *match_value;
    uint32_t skipped;    /* answers of others, before its own */
    HtMatch match;       /* of its own answer */
    uint64_t unnamed_ms; /* when an answer came that says of no call that it is
                            its own; 0: none did */
    HtWay way;
    HtPurpose purpose;
    bool may_detour;
    bool fresh;
    bool heard;  /* a byte came back */
    bool failed; /* no connection could be opened: ends at fail_timer */
    GList *link; /* in the pool's failed calls */
};

struct HtPool {
    struct ev_loop *loop;
    GQueue conns;  /* HtConn; also the idle ones */
    GQueue failed; /* HtCall */
    ev_timer fail_timer;
    HtDetours detours; /* paths is NULL: no detours */
    GHashTable *lost;  /* address -> uint64_t: as in ht_get_lost_ms */
    uint64_t opened;   /* connections */
    const Cm *memory;  /* NULL: not limited */
};

/* So long a lost connection is remembered: far longer than the entry of an
   upstream that restarted stays out of date. */
#define HT_LOST_MS 600000

/* http_pool */
/* See ht_get_lost_ms. */
void ht_note_lost(HtConn *w);
void ht_free_call(HtCall *call);
void ht_free_conn(HtConn *w);
void ht_close_conn(HtConn *w);
/* Ends its call, if it has one, as broken off or as not sent. */
void ht_fail_conn(HtConn *w, AeSignal signal);
/* W is a kept connection on which nothing of its call was sent. */
bool ht_may_move_call(const HtConn *w);
/* Closes W, and opens another connection for its call. */
void ht_move_call(HtConn *w);
/* W no longer opens for its call. */
void ht_forget_opening(HtConn *w);
/* The call is on no connection any more. */
void ht_end_call(HtCall *call, AeEnd end);
/* Closes W, and ends its call, if it has one. */
void ht_close_call(HtConn *w, AeEnd end);
void ht_send_request(HtConn *w);

/* http_answer */
/* LEN 0: the connection was closed in order.  May free W. */
void ht_parse_input(HtConn *w, const uint8_t *data, size_t len);
void ht_make_idle(HtConn *w);
/* Nothing more follows the answer that W holds back.  May free W. */
void ht_end_held(HtConn *w);
/* W holds its answer back no longer at NOW_MS. */
bool ht_was_held(const HtConn *w, uint64_t now_ms);
/* Bytes of the upstream wait to be read. */
bool ht_has_unread(const HtConn *w);
/* The paths that W tells of; NULL: it goes to no upstream. */
Pt *ht_get_paths(const HtConn *w);
/* The id of its call is written to W. */
void ht_keep_id(HtConn *w);
/* An id may name several requests, and proves no answer on a connection that
   carried it before.  Equal digests of others only cost a connection.  ID: or
   NULL. */
bool ht_has_carried(const HtConn *w, const char *id);

/* http_open */
/* HELPER: NULL to connect to ADDRESS itself.  OPENER: NULL for a probe. */
HtConn *ht_open_conn(HtPool *p, const char *address, const char *helper,
                     HtWay way, HtCall *opener);
bool ht_open_direct(HtCall *call);
bool ht_is_opening(const HtCall *call);
/* False: no helper is left. */
bool ht_open_detour(HtCall *call);
/* W could not be opened.  Its call tries another way, or ends. */
void ht_fail_opening(HtConn *w, PtAnswer answer, bool timed_out);
/* CALL needs those being opened no more: an own one goes on as a probe. */
void ht_leave_openings(HtCall *call);
void ht_attach_call(HtCall *call, HtConn *w);

#endif
