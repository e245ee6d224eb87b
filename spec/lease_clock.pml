/* A holder acts on a lease that it counts by its own clock, and looks at that clock right before each
 * order. Its machine may be suspended at any time. Another takes the lease once it has not changed
 * for its whole length, and orders then. No order of the first may follow one of the second.
 *
 * -DCLOCK_STANDS_STILL  broken variant: the holder's clock does not count suspended time, so that it
 *                       wakes and does not know that it slept. */

#define LENGTH 4   /* Of the lease, in ticks. */
#define MARGIN 1   /* The holder stops so long before. */
#define LONGEST 12 /* Ticks that are looked at. */

byte now = 0;
byte lost = 0;         /* Ticks that the holder's clock did not count. */
byte renewed = 0;      /* When the record last changed. */
bool suspended = false;
bool taken = false;    /* By the other. */
bool ordered = false;  /* The other has given an order. */

#define OWN_CLOCK (now - lost)
byte act_until = LENGTH - MARGIN; /* By the holder's clock, counted from when it sent the renewal. */

active proctype Time() {
  do
  :: atomic { now < LONGEST ->
      now++;
#ifdef CLOCK_STANDS_STILL
      if
      :: suspended -> lost++
      :: else -> skip
      fi
#endif
    }
  :: now == LONGEST -> break
  od
}

active proctype Suspension() {
  suspended = true;
  suspended = false
}

active proctype Holder() {
  do
  :: atomic { !suspended && !taken && OWN_CLOCK < act_until ->
      renewed = now;
      act_until = OWN_CLOCK + LENGTH - MARGIN }
  :: atomic { !suspended && OWN_CLOCK < act_until -> assert(!ordered) }
  :: now == LONGEST -> break
  od
}

active proctype Other() {
  atomic { now >= renewed + LENGTH || now == LONGEST ->
    if
    :: now >= renewed + LENGTH -> taken = true
    :: else -> goto done
    fi
  }
  ordered = true;
done:
  skip
}
