/* Usage of one window: holders of the lease come one after the other, each with counts of its own
 * (what it has heard), calls are lost, answers are lost, and calls are carried out late. The service
 * takes what comes under the highest fence it has seen, and the one before it. It must never have
 * taken two reports that differ.
 *
 * -DWITHOUT_RECORD   broken variant: a holder sends what it has counted, and writes nothing down.
 * -DWITHOUT_COMPARE  broken variant: the store takes a record whatever was there before.
 * -DRECOUNT          broken variant: after a lost answer a holder sends what it has counted since. */

#define HOLDERS 3
#define NOTHING 0

byte fence = 0;           /* Of the lease; each holder has a higher one. */
byte recorded = NOTHING;  /* The body in the store. */
byte highest = 0;         /* Fence that the service has seen. */
byte taken = NOTHING;     /* Body that the service has taken. */

chan late = [4] of { byte, byte };  /* Fence and body of calls that are carried out later. */

inline take(f, body) {
  atomic {
    if
    :: f >= highest ->
      highest = f;
      assert(taken == NOTHING || taken == body);
      taken = body
    :: else -> skip
    fi
  }
}

proctype Holder(byte id) {
  byte own_fence, counted, body, tries;
  atomic { fence++; own_fence = fence };
  counted = id + 1;  /* Each has heard something else. */
  body = counted;
#ifndef WITHOUT_RECORD
  /* Written under the revision of an empty slot, or read. */
  atomic {
    if
#ifdef WITHOUT_COMPARE
    :: true -> recorded = counted
#else
    :: recorded == NOTHING -> recorded = counted
#endif
#ifndef WITHOUT_COMPARE
    :: recorded != NOTHING -> skip
#endif
    fi
  }
  body = recorded;
#endif
  tries = 0;
  do
  :: tries < 2 ->
    tries++;
#ifdef RECOUNT
    if
    :: tries > 1 -> body = counted + HOLDERS
    :: else -> skip
    fi;
#endif
    if
    :: true -> take(own_fence, body); break  /* Answered. */
    :: true -> take(own_fence, body)         /* The answer is lost. */
    :: nfull(late) -> late!own_fence, body
    :: true -> skip                          /* The call is lost. */
    fi
  :: tries >= 2 -> break
  :: break                              /* Killed. */
  od
}

proctype Service() {
  byte f, body;
end:
  do
  :: late?f, body -> take(f, body)
  od
}

init {
  atomic {
    byte i = 0;
    run Service();
    do
    :: i < HOLDERS -> run Holder(i); i++
    :: else -> break
    od
  }
}
