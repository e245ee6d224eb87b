/* A request that may run once: its key is held by a majority of replicas before the dispatch, and the
 * group of replicas may change meanwhile. Four nodes; the group is {0,1,2} in view 1 and {1,2,3} in
 * view 2. Every exchange may be lost on its way there or back; one replica may restart and forget.
 *
 * -DRETRY_UNCERTAIN  broken variant: a dispatch without an answer is repeated.
 * -DWITHOUT_SEAL     broken variant: the new view begins without sealing the old one. */

#define NODES 4
#define NOBODY 0

byte view[NODES];    /* View that a replica vouches for; zero: none. */
byte sealed[NODES];  /* It grants nothing below this view. */
byte holder[NODES];  /* Claimant that holds the key at a replica. */
byte stored_view = 1;  /* In the platform's store; view 2 counts once it is stable. */
bool stable2 = false;
byte runs = 0;         /* Ghost: executions at engines. */
bool restarted = false;

#define MEMBER(v, n) ((v == 1 && n < 3) || (v == 2 && n > 0))

proctype Claimant(byte me) {
  byte known, n, granted;
  bool refused = false;
  /* A node may know an old composition. */
  if
  :: known = 1
  :: stable2 -> known = 2
  fi;
  n = 0;
  granted = 0;
  do
  :: n < NODES ->
    atomic {
      if
      :: MEMBER(known, n) && view[n] == known && sealed[n] <= known ->
        if
        :: holder[n] == NOBODY -> holder[n] = me;
          if :: granted++ :: skip fi  /* The answer may be lost. */
        :: holder[n] == me -> if :: granted++ :: skip fi
        :: else -> if :: refused = true :: skip fi
        fi
      :: skip  /* Lost on the way there, or not served. */
      fi;
      n++
    }
  :: else -> break
  od;
  if
  :: granted >= 2 && !refused ->
    if
    :: atomic { runs++; assert(runs <= 1) }  /* The dispatch arrived, with or without an answer. */
    :: skip                                  /* It did not arrive; the claimant cannot tell. */
    fi;
#ifdef RETRY_UNCERTAIN
    atomic { runs++; assert(runs <= 1) }
#endif
  :: else -> skip  /* Told not_run, or already claimed. */
  fi
}

proctype Coordinator() {
  byte n, count, merged;
  merged = NOBODY;
  count = 0;
  stored_view = 2;
#ifdef WITHOUT_SEAL
  count = 2;
#else
  n = 0;
  do
  :: n < 3 ->
    atomic {
      if
      :: sealed[n] = 2;
        if
        :: view[n] == 1 -> count++; if :: holder[n] != NOBODY -> merged = holder[n] :: else fi
        :: else -> skip  /* Restarted: it does not know what it granted. */
        fi
      :: skip  /* Lost. */
      fi;
      n++
    }
  :: else -> break
  od;
#endif
  if
  :: count >= 2 ->
    n = 1;
    do
    :: n < NODES ->
      atomic {
        if
        :: holder[n] == NOBODY -> holder[n] = merged
        :: else -> skip
        fi;
        view[n] = 2; sealed[n] = 2;
        n++
      }
    :: else -> break
    od;
    stable2 = true
  :: else -> skip  /* Not a majority: the old group goes on, or nothing is granted. */
  fi
}

proctype Restart() {
  byte n;
  select(n : 0 .. 2);
  atomic {
    if
    :: view[n] == 1 -> view[n] = 0; holder[n] = NOBODY
    :: else -> skip
    fi
  }
}

init {
  atomic {
    view[0] = 1; view[1] = 1; view[2] = 1;
    sealed[0] = 1; sealed[1] = 1; sealed[2] = 1;
    run Claimant(1);
    run Claimant(2);
    run Coordinator();
    run Restart()
  }
}
