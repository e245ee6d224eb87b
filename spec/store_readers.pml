/* Reading the store: a follower takes answers that may lag, and others' hints make it ask for the
 * latest. What it holds never goes back, and no change is left out, whatever the lag, however calls
 * are given up, and whenever the store forgets its history.
 *
 * -DTAKE_OLD_LIST    broken variant: a list that may lag is taken without asking what came after it.
 * -DTAKE_LATE_ANSWER broken variant: the answer to a call that was given up is taken.
 * -DTRUST_HINT       broken variant: a hint is taken for the changes that it tells of.
 * -DKEEP_CALL        broken variant: the call under way goes on when another node has brought the
 *                    state, and its answer is taken after it. */

#define CHANGES 4
#define CALLS 3

#define ALL_UP_TO(r) ((1 << (r)) - 1)  /* The set of the first r changes. */

byte store = 0;    /* Changes made so far; also the store's revision. */
byte oldest = 0;   /* Watches from before this find no history. */
byte replica = 0;  /* What lagging answers know. */
byte hint = 0;     /* The newest revision that a message told of; messages are lost and late. */

chan answers = [CALLS] of { byte, byte, byte };  /* Call, asked from, known up to. */

active proctype Store() {
end:
  do
  :: store < CHANGES -> store++
  :: replica < store -> replica++
  :: oldest < store -> oldest++
  :: hint < store -> hint++  /* A reader has seen it, and a message has come. */
  od
}

active proctype Follower() {
  byte revision = 0;
  byte held = 0;     /* The set of changes that are taken into account. */
  byte newest = 0;   /* The change that what is held stems from. */
  byte call = 0;
  byte from, known, id;
  bool listed = false;
  bool asked = false;

end:
  do
  /* A list, of the latest or lagging. What came after it is asked for before it is taken. */
  :: !listed ->
    atomic {
      if
      :: known = replica
      :: known = store
      fi;
      from = known
    }
#ifndef TAKE_OLD_LIST
    /* What came after it; where the history is gone, the latest is listed instead. */
    known = store;
#endif
    atomic {
      assert(known >= newest);
      revision = known;
      held = ALL_UP_TO(known);
      newest = known;
      listed = true;
      asked = false
    }

  /* A watch from what is held; its answer comes later, or after the call was given up. */
  :: listed && !asked && call < CALLS ->
    atomic {
      asked = true;
      call++;
      from = revision;
      if
      :: from < oldest -> listed = false
      :: from >= oldest && replica > from -> answers ! call, from, replica
      :: from >= oldest && store > from -> answers ! call, from, store
      :: from >= oldest -> answers ! call, from, from  /* Nothing new within the wait. */
      fi
    }

  /* Others have seen more: the call under way is given up, and the latest is asked for. */
  :: listed && asked && hint > revision && call < CALLS ->
    atomic {
#ifdef TRUST_HINT
      revision = hint;
      newest = hint;
#endif
      call++;
      from = revision;
      if
      :: from < oldest -> listed = false
      :: else -> answers ! call, from, store
      fi
    }

  /* Another node hands its state on. It holds what some answer of the store held. */
  :: listed && hint > newest ->
    atomic {
      revision = hint;
      held = ALL_UP_TO(hint);
      newest = hint;
#ifndef KEEP_CALL
      asked = false;
      call++
#endif
    }

  /* Answers may come in any order. */
  :: answers ?? id, from, known ->
    atomic {
#ifdef TAKE_LATE_ANSWER
      if
      :: true ->
#else
      if
      :: id == call && listed ->
#endif
        asked = false;
        if
        :: known > from ->
          assert(known >= newest);
          held = held | (ALL_UP_TO(known) & ~ALL_UP_TO(from));
          newest = known;
          revision = (known > revision -> known : revision)
        :: else -> skip
        fi;
        assert(held == ALL_UP_TO(revision))
#ifndef TAKE_LATE_ANSWER
      :: else -> skip
#endif
      fi
    }
  od
}
