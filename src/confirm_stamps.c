#include "confirm_stamps.h"

void
cs_take(Cs *c, uint64_t now_ms, uint64_t stamp_ms)
{
    uint64_t last_ms = c->rows[c->newest].taken_ms;
    if (!stamp_ms || (last_ms && now_ms < last_ms + CS_APART_MS)) {
        return;
    }
    c->newest = (c->newest + 1) % CS_STAMPS;
    c->rows[c->newest] = (CsStamp){stamp_ms, now_ms};
}

uint64_t
cs_find(const Cs *c, uint64_t as_of_ms)
{
    uint64_t found_ms = 0;
    for (int i = 0; i < CS_STAMPS; i++) {
        const CsStamp *x = &c->rows[i];
        if (x->taken_ms && x->taken_ms <= as_of_ms) {
            found_ms = MAX(found_ms, x->stamp_ms);
        }
    }
    return found_ms;
}
