/* A tenant's quota over all nodes. The first node of a ranking that answers owns the quota; a second
 * one replaces it while it is silent. The fleet is cut into two parts, and the first node dies and
 * starts again. Whatever happens, the grants of a window stay within a tenth more than the quota and
 * a slack of 0.7 s of its rate.
 *
 * A step is half a second; the window has 16. Grants are as many as may be: fewer break nothing that
 * more do not. Faults are a window apart.
 *
 * -DWHOLE_AT_ONCE  broken variant: a node that replaces a silent owner grants the whole quota at once.
 * -DWHOLE_IN_A_PART  broken variant: the owner of a part that is cut off grants the whole quota. */

#define RATE 4           /* Of a step. */
#define BURST 8          /* Beyond the rate; one second of it. */
#define WINDOW 16
#define ALLOWED 84       /* 1.1 * (WINDOW * RATE + BURST) and 0.7 s of the rate, rounded down. */
#define REACH_DELAY 5    /* Steps until a node has noticed whom it no longer reaches. */
#define PROBE_DELAY 2    /* Steps until callers use a preferred owner that has come back. */

#ifdef WHOLE_AT_ONCE
#define NEW_OWNER_RATE RATE
#else
#define NEW_OWNER_RATE (RATE / 2)
#endif

#ifdef WHOLE_IN_A_PART
#define SHARE(nodes) RATE
#else
#define SHARE(nodes) (nodes)     /* Of four groups of nodes, RATE / 4 each. */
#endif

byte granted[WINDOW];    /* Of the last steps, the oldest first. */
byte sum = 0;
byte i;

bool cut = false;
byte part = 4;           /* Groups of nodes that reach the first node. */
bool first_runs = true;
bool saved = true;       /* The first node's burst has not been used. */
byte since_fault = WINDOW;

inline grant(amount) {
  granted[WINDOW - 1] = granted[WINDOW - 1] + amount;
  sum = sum + amount
}

inline next_step() {
  sum = sum - granted[0];
  for (i : 0 .. WINDOW - 2) {
    granted[i] = granted[i + 1]
  }
  granted[WINDOW - 1] = 0;
  i = 0
}

inline fault() {
  if
  :: !cut && first_runs -> cut = true; if :: part = 1 :: part = 2 :: part = 3 fi; since_fault = 0
  :: cut -> cut = false; since_fault = 0
  :: !cut && first_runs -> first_runs = false; part = 0; saved = false; since_fault = 0
  :: !first_runs -> first_runs = true; since_fault = 0
  :: skip
  fi
}

active proctype Fleet() {
  do
  :: atomic {
      if
      :: since_fault >= WINDOW -> fault()
      :: else
      fi;
      d_step { next_step() };

      /* The first node. */
      if
      :: first_runs && cut && since_fault >= REACH_DELAY -> grant(SHARE(part))
      :: first_runs && !(cut && since_fault >= REACH_DELAY) -> grant(RATE)
      :: else
      fi;
      if
      :: first_runs && saved -> grant(BURST); saved = false
      :: first_runs && !cut && !saved && since_fault >= WINDOW && sum == 0 -> saved = true
      :: skip
      fi;

      /* The nodes that do not reach it: their shares, then the second node. */
      if
      :: (cut || !first_runs) && since_fault == 0 && cut -> grant(4 - part)
      :: (cut || !first_runs) && since_fault == 0 && !cut -> grant(RATE)
      :: (cut || !first_runs) && since_fault > 0 && since_fault < REACH_DELAY -> grant(NEW_OWNER_RATE)
      :: cut && since_fault >= REACH_DELAY -> grant(SHARE(4 - part))
      :: !first_runs && since_fault >= REACH_DELAY -> grant(RATE)
      :: !cut && first_runs && since_fault < PROBE_DELAY -> grant(SHARE(4 - part))
      :: else
      fi;
      assert(sum <= ALLOWED);

      if
      :: since_fault < WINDOW -> since_fault++
      :: else -> if :: !cut -> part = 4 :: else fi
      fi
    }
  od
}
