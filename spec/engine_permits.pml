/* Permits to send to an engine that takes so many requests a second from all nodes. The first node
 * of an order that answers keeps the limit; a second one keeps it while the first is silent. The
 * first dies, stands still and starts again at any moment, and the fleet is cut into two parts.
 * Whatever happens, the permits of a window and of the time for which they are good stay within one
 * and a half times the limit and five.
 *
 * A step is half a second; the window has eight, and a permit is good for less than one.
 *
 * -DGRANT_AT_ONCE    broken variant: a node that comes to keep a limit grants from its first moment.
 * -DWHOLE_IN_A_PART  broken variant: the keeper of a part of the fleet that is cut off gives the
 *                    whole limit, however few nodes it hears of. */

#define RATE 2           /* That the engine takes in a step. */
#define STEPS 9          /* Of a window, and of a permit's life. */
#define ALLOWED 29       /* 1.5 * 8 * RATE + 5. */
#define HEARD_WITHIN 2   /* Who passes a node over asks it for a sign of life once a second. */
#define SILENT_AFTER 1   /* Until a node that does not answer is passed over. */

#ifdef GRANT_AT_ONCE
#define FIRST_GRANT 0
#else
#define FIRST_GRANT 3    /* Steps for which a new keeper grants nothing. */
#endif

#ifdef WHOLE_IN_A_PART
#define PART_RATE RATE
#else
#define PART_RATE 1      /* Half of the nodes or fewer: their part of the limit. */
#endif

byte given[STEPS];       /* Permits of the last steps, the oldest first. */
byte sum = 0;
byte i;

bool cut = false;        /* The first node hears of half of the fleet at most. */
bool first_runs = true;
byte first_since = FIRST_GRANT;   /* Steps for which it has run without a break. */
bool second_keeps = false;
byte second_since = 0;
byte unheard = 0;        /* Steps for which the second has asked the first in vain. */

inline older(since) {
  if
  :: since < FIRST_GRANT -> since++
  :: else
  fi
}

/* As much as may be: fewer permits break nothing that more do not. */
inline give(most) {
  given[STEPS - 1] = given[STEPS - 1] + most;
  sum = sum + most
}

inline next_step() {
  sum = sum - given[0];
  for (i : 0 .. STEPS - 2) {
    given[i] = given[i + 1]
  }
  given[STEPS - 1] = 0;
  i = 0
}

active proctype Fleet() {
  do
  :: atomic {
      /* The first node ends or stands still; it comes back as one that has just started. */
      if
      :: first_runs -> first_runs = false
      :: !first_runs -> first_runs = true; first_since = 0
      :: skip
      fi;
      if
      :: cut = !cut
      :: skip
      fi;

      /* What the second concludes. While the first runs and is reached, it is heard in time. */
      if
      :: !first_runs || cut ->
        if
        :: unheard < SILENT_AFTER -> unheard++
        :: else -> if
          :: !second_keeps -> second_keeps = true; second_since = 0
          :: else
          fi
        fi
      :: first_runs && !cut ->
        if
        :: first_since >= HEARD_WITHIN || !second_keeps -> unheard = 0; second_keeps = false
        :: else -> if
          :: unheard = 0; second_keeps = false
          :: skip
          fi
        fi
      fi;

      d_step { next_step() };
      if
      :: first_runs && first_since >= FIRST_GRANT && !cut -> give(RATE)
      :: first_runs && first_since >= FIRST_GRANT && cut -> give(PART_RATE)
      :: else
      fi;
      if
      :: second_keeps && second_since >= FIRST_GRANT -> give(RATE)
      :: else
      fi;
      assert(sum <= ALLOWED);

      if
      :: first_runs -> older(first_since)
      :: else
      fi;
      if
      :: second_keeps -> older(second_since)
      :: else
      fi
    }
  od
}
