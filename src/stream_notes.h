/* sn: notes of which software version began a stream, where the version plan
   doesn't tell it: for streams that this gateway began, and for those of
   unsettled shares that others have sent notes of.

   A note is a fact, and a missing one says nothing: notes may be lost, so
   nothing follows from there being none.  Two notes of one stream that differ
   cancel each other, as an attempt id may be used twice.

   Workload: while there are several versions, a few hundred streams of this
   gateway; on the leader, in a rollout, up to tens of thousands of others.

   No threads, I/O or clock. */
#ifndef STREAM_NOTES_H
#define STREAM_NOTES_H

#include "base.h"

typedef struct Sn Sn;

/* Texts are borrowed, until the next change of the notes. */
typedef struct {
    uint64_t key;
    const char *version; /* NULL: notes of it differ */
    /* Where the plan has it; NULL: another gateway began it. */
    const char *service;
    const char *model;
    const char *attempt;
    uint32_t left_ms; /* until it is dropped */
    bool sent;        /* see sn_set_sent */
} SnNote;

/* Notes beyond MOST are not taken. */
Sn *sn_create(uint32_t most);
void sn_destroy(Sn *s);

/* Names a stream, alike at each gateway.  A caller can't name another
   workspace's stream.  WORKSPACE, MODEL: NULL if there is none. */
uint64_t sn_make_key(const char *workspace, const char *service,
                     const char *model, const char *attempt);
/* Takes NOTE, for its left_ms; a longer time that is left stays.  False: it
   was known, or there is no room. */
bool sn_add(Sn *s, uint64_t now_ms, const SnNote *note);
/* The note was sent to another gateway. */
void sn_set_sent(Sn *s, uint64_t key);
/* NULL: not known. */
const char *sn_find(const Sn *s, uint64_t now_ms, uint64_t key);
void sn_visit(const Sn *s, uint64_t now_ms,
              void (*visit)(void *ctx, const SnNote *note), void *ctx);
/* Drops those whose time is over. */
void sn_on_tick(Sn *s, uint64_t now_ms);
uint32_t sn_count(const Sn *s);

#endif
