/*
 * Configuration distribution with restarts (section 5 of docs/design.md, internal/config/machine.go).
 *
 * Hosts read the store, exchange messages and restart at any time. A store outage or a partition is modeled by steps
 * that are not taken. A restarted host is a new incarnation, which replaces the old one in the epoch by a
 * compare-and-swap; epochs that grow or shrink, and changes of the epoch during a push, are covered by the property
 * test in internal/config. Time is abstract. A statement "as of t, the newest generation that matters is g" is
 * modeled by the generation that was acknowledged when its query was sent: a host that receives the statement counts
 * as confirmed for the changes up to it. All steps are atomic, except that a peer's reply is processed later than it
 * was sent.
 *
 * Checked: the installed generation of an incarnation never decreases; no host has a generation that was not accepted;
 * a host that counts as confirmed as of an acknowledgement has the acknowledged change.
 *
 * Broken variants, for each of which the checker must report an error:
 *   ACK_REACHABLE   a change is acknowledged once all reachable hosts have it, without a majority
 *   COUNT_RESTARTED a restarted host counts towards the majority although it lost its state
 *   RELAY_FRESH     a relayed confirmation counts as new, its age is ignored
 *   REVERT          a host installs the head that it received last, even if it is older
 *   JOIN_UNREAD     a host that joined the epoch counts before it has read the head from the store
 */

#define N 3            /* hosts */
#ifndef MAXGEN
#define MAXGEN 2       /* accepted generations */
#endif
#ifndef MAXRESTART
#define MAXRESTART 2   /* total restarts of all hosts */
#endif

byte head = 1;             /* the store's generation */
byte acked = 1;            /* highest generation reported as active */
byte installed[N];         /* 0: none yet */
byte confirmed[N];         /* highest acknowledged generation at the time of the newest confirmation */
bool member[N];            /* this incarnation of the host is in the epoch */
bool fresh[N];             /* confirmed against the store since it joined the epoch */
byte restarts = 0;

/* Replies in transit to the querying host; one host queries at a time. */
byte asker = N;            /* N: none */
bool valid[N];
byte generation[N];
byte claim[N];             /* generation for which the sender is confirmed */
byte asof[N];              /* acknowledged generation when the query was sent */
bool counts[N];            /* the sender counts towards a majority */

/* The push of generation pushed by host applier, in progress until it is acknowledged or abandoned; 0 for none. */
byte pushed = 0;
byte applier;
bool holds[N];

inline take(h, g) {
#ifdef REVERT
  installed[h] = g;
#else
  if
  :: g > installed[h] -> installed[h] = g
  :: else
  fi;
#endif
}

inline confirm(h, g, t) {
  if
  :: installed[h] >= g && t > confirmed[h] -> confirmed[h] = t
  :: else
  fi;
}

/* The safety properties, checked after each step that can violate them. */
inline check(h) {
  assert(installed[h] <= head);
  assert(confirmed[h] == 0 || installed[h] >= confirmed[h]);
}

inline drop() {
  asker = N;
  k = 0;
  do
  :: k < N -> valid[k] = false; generation[k] = 0; claim[k] = 0; asof[k] = 0; counts[k] = false; k++
  :: else -> break
  od;
  k = 0
}

inline forget(h) {
  installed[h] = 0;
  confirmed[h] = 0;
  fresh[h] = false;
#ifdef COUNT_RESTARTED
  fresh[h] = member[h];
#else
  member[h] = false;
#endif
  if
  :: asker == h -> drop()
  :: else
  fi
}

proctype Host(byte id) {
  byte k = 0, n = 0, best = 0, oldest = 0, before = 0, gen = 0, upto = 0;
  do
  :: atomic { /* Read the head from the store. */
       before = installed[id];
       take(id, head);
       confirm(id, head, acked);
       if
       :: member[id] -> fresh[id] = true
       :: else
       fi;
       assert(installed[id] >= before);
       check(id);
       before = 0
     }
  :: atomic { /* Accept a change: compare-and-swap on the head. */
       head < MAXGEN && installed[id] == head && pushed == 0 ->
       head++;
       installed[id] = head;
       pushed = head;
       applier = id;
       k = 0;
       do
       :: k < N -> holds[k] = false; k++
       :: else -> break
       od;
       holds[id] = member[id];
       k = 0
     }
  :: atomic { /* Receive the push. */
       pushed > 0 && id != applier && !holds[id] && installed[id] > 0 ->
       before = installed[id];
       take(id, pushed);
       if
       :: installed[id] >= pushed && member[id] -> holds[id] = true
       :: else
       fi;
       assert(installed[id] >= before);
       check(id);
       before = 0
     }
  :: atomic { /* Acknowledge the change, or abandon the push without a report. */
       pushed > 0 && id == applier ->
       n = 0; k = 0;
       do
       :: k < N ->
          if
          :: holds[k] -> n++
          :: else
          fi;
          k++
       :: else -> break
       od;
       if
#ifdef ACK_REACHABLE
       :: n >= 1 && pushed > acked -> acked = pushed
#else
       :: 2 * n > N && pushed > acked -> acked = pushed
#endif
       :: true
       fi;
       pushed = 0; applier = 0;
       k = 0;
       do
       :: k < N -> holds[k] = false; k++
       :: else -> break
       od;
       k = 0; n = 0
     }
  :: atomic { /* Query another host, whose reply is then in transit. A later reply replaces an earlier one. */
       (asker == N || asker == id) ->
       if
       :: k = 0
       :: k = 1
       :: k = N - 1
       fi;
       if
       :: k != id && installed[k] > 0 ->
          asker = id;
          valid[k] = true;
          generation[k] = installed[k];
          claim[k] = confirmed[k];
          asof[k] = acked;
          counts[k] = member[k] && fresh[k]
       :: else
       fi;
       k = 0
     }
  :: atomic { /* Process the replies: install the highest generation, take relayed confirmations, count the majority. */
       asker == id ->
       before = installed[id];
       best = 0; n = 0; oldest = MAXGEN; k = 0;
       if
       :: member[id] && fresh[id] && installed[id] > 0 -> n = 1
       :: else
       fi;
       do
       :: k < N ->
          if
          :: valid[k] ->
             gen = generation[k];
#ifdef RELAY_FRESH
             upto = (claim[k] > 0 -> asof[k] : 0);
#else
             upto = claim[k];
#endif
             take(id, gen);
             confirm(id, gen, upto);
             if
             :: counts[k] ->
                n++;
                if
                :: asof[k] < oldest -> oldest = asof[k]
                :: else
                fi;
                if
                :: generation[k] > best -> best = generation[k]
                :: else
                fi
             :: else
             fi
          :: else
          fi;
          k++
       :: else -> break
       od;
       if
       :: 2 * n > N && best > 0 -> confirm(id, best, oldest)
       :: else
       fi;
       drop();
       assert(installed[id] >= before);
       check(id);
       before = 0; best = 0; n = 0; oldest = 0; k = 0; gen = 0; upto = 0
     }
  :: atomic { /* Restart: the incarnation's memory is lost, including a push in progress. */
       restarts < MAXRESTART && installed[id] > 0 ->
       restarts++;
       forget(id);
       if
       :: pushed > 0 && applier == id ->
          pushed = 0; applier = 0;
          do
          :: k < N -> holds[k] = false; k++
          :: else -> break
          od;
          k = 0
       :: pushed > 0 && applier != id -> holds[id] = false
       :: else
       fi
     }
  :: atomic { /* Join the epoch by compare-and-swap; replacing the previous incarnation keeps the epoch's size. */
       !member[id] && installed[id] > 0 && pushed == 0 ->
       member[id] = true;
#ifdef JOIN_UNREAD
       fresh[id] = true;
#else
       fresh[id] = false;
#endif
     }
  od
}

init {
  byte i = 0;
  atomic {
    do
    :: i < N ->
       installed[i] = 1; confirmed[i] = 1;
       member[i] = true; fresh[i] = true;
       i++
    :: else -> break
    od;
    i = 0;
    do
    :: i < N -> run Host(i); i++
    :: else -> break
    od;
    i = 0
  }
}
