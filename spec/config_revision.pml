/* Configuration: operators race through two nodes, answers of the store are lost, and nodes learn
 * revisions in any order. An accepted change is in every later revision, and no node goes back.
 *
 * -DWITHOUT_REVISION_CHECK  broken variant: a node adopts whatever arrives.
 * -DWITHOUT_COMPARE         broken variant: the store writes without comparing versions. */

#define NODES 2
#define OPERATORS 3

byte stored_revision = 0;
byte stored_edits = 0;  /* One bit for each accepted operator's edit. */
byte accepted = 0;      /* Ghost: edits that an operator saw accepted. */

byte revision[NODES];
byte edits[NODES];

chan gossip = [4] of { byte, byte, byte };  /* To node, revision, edits; in any order, may be lost. */

inline offer(n, r, e) {
  atomic {
#ifdef WITHOUT_REVISION_CHECK
    if
    :: true ->
#else
    if
    :: r > revision[n] ->
#endif
      assert(r >= revision[n]);
      assert((edits[n] & e) == edits[n]);
      revision[n] = r;
      edits[n] = e
#ifndef WITHOUT_REVISION_CHECK
    :: else -> skip
#endif
    fi
  }
}

proctype Operator(byte id) {
  byte base, content, node;
  bool applied;
  node = id % NODES;
retry:
  atomic { base = stored_revision; content = stored_edits };
  applied = false;
  atomic {
#ifdef WITHOUT_COMPARE
    if
    :: true ->
#else
    if
    :: stored_revision == base ->
#endif
      stored_revision = base + 1;
      stored_edits = content | (1 << id);
      assert((stored_edits & accepted) == accepted);
      applied = true
#ifndef WITHOUT_COMPARE
    :: else -> skip
#endif
    fi
  }
  if
  :: applied -> skip                 /* Answered. */
  :: applied -> 
    /* The answer was lost: settled by reading back and looking for the write's identifier. */
    if
    :: (stored_edits & (1 << id)) -> skip
    :: else -> goto done
    fi
  :: !applied -> goto retry
  fi;
  atomic { base = stored_revision; content = stored_edits; accepted = accepted | (1 << id) };
  offer(node, base, content);
  if
  :: gossip ! 1 - node, base, content
  :: skip  /* Killed right after its answer. */
  fi;
done:
  skip
}

active [NODES] proctype Node() {
  byte r, e;
end:
  do
  :: gossip ?? eval(_pid), r, e -> offer(_pid, r, e)
  :: gossip ?? eval(_pid), r, e -> skip  /* Lost. */
  :: atomic { revision[_pid] < stored_revision -> r = stored_revision; e = stored_edits };
    offer(_pid, r, e)  /* A reader's watch. */
  od
}

init {
  atomic {
    run Operator(0);
    run Operator(1);
    run Operator(2)
  }
}
