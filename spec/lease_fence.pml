/* Lease, fence and claim: at an engine, no order of an older holder takes effect once a newer holder
 * has claimed it. Clocks are not modelled: any holder may be frozen at any step for any time and then
 * go on, so the proof rests on the fence alone.
 *
 * -DWITHOUT_CLAIM  broken variant: the engine takes orders without looking at the fence. */

#define HOLDERS 3

byte epoch = 0;           /* In the store; taken by compare-and-set. */
byte held_fence = 0;      /* At the engine. */
byte highest_ordered = 0; /* Ghost: the highest fence whose order the engine took. */
byte highest_claimed = 0; /* Ghost: the highest fence that ever claimed the engine. */

mtype = { claim, order };
chan network = [3] of { mtype, byte };  /* Delivers in any order, and may lose. */
bool answered[HOLDERS + 1];             /* Whether the claim of a fence was answered. */

active [HOLDERS] proctype Holder() {
  byte seen, fence;
  seen = epoch;  /* Read the record. */
  /* Compare-and-set; another may have been faster. */
  atomic {
    if
    :: epoch == seen -> epoch = seen + 1; fence = seen + 1
    :: else -> goto done
    fi
  }
  if
  :: network ! claim(fence)
  :: goto done  /* Killed. */
  fi;
  /* A claim comes before any order. */
  if
  :: answered[fence] -> skip
  :: timeout -> goto done
  fi;
  if
  :: network ! order(fence)
  :: skip
  fi;
done:
  skip
}

active proctype Engine() {
  byte fence;
end:
  do
  :: atomic { network ?? claim(fence) ->
      if
      :: fence > held_fence -> held_fence = fence; highest_claimed = fence; answered[fence] = true
      :: else -> skip
      fi }
  :: atomic { network ?? order(fence) ->
#ifdef WITHOUT_CLAIM
      if
      :: true ->
#else
      if
      :: fence == held_fence ->
#endif
        assert(fence >= highest_ordered);
        assert(fence == highest_claimed);
        highest_ordered = fence
#ifndef WITHOUT_CLAIM
      :: else -> skip
#endif
      fi }
  :: atomic { network ?? claim(fence) }  /* Lost. */
  :: atomic { network ?? order(fence) }  /* Lost. */
  od
}
