/*
 * Replica slots and fencing.
 *
 * One model with at most one replica, two engines, two instances. Every table
 * transaction is one atomic step. Orders may be delivered at any later time
 * or never; answers may be lost; instances pause (by interleaving) and
 * restart; engines disappear and come back. One engine enforces fencing and
 * one ignores it.
 *
 * Size: three fencing numbers for each engine, one restart of an instance and
 * one restart of an engine.
 *
 * Checked: at most one engine has the model loaded.
 *
 * Assumption: when the instance list shows that an instance is gone, every order
 * of that instance has been delivered or lost. Likewise, when the list shows that
 * an engine is gone, every order to it whose owner has closed the connection has
 * been delivered or lost.
 *
 * Deliberate faults, for which the check must fail:
 *   FAULT_FREE_ON_LAPSE       a slot is freed without evidence
 *   FAULT_UNLOAD_PROVES_ALL   an unload frees a slot whose load order may still arrive
 *   FAULT_SAME_FENCE          an unload does not get a newer fencing number
 *   FAULT_SEND_TWICE          a load order is sent again after its answer is lost
 *   FAULT_NO_INCARNATION      orders do not name the engine's incarnation
 *   FAULT_RESTART_PROVES_ABSENCE  a restart of an engine that ignores fencing frees a slot
 *   FAULT_GONE_ENDS_ORDER     an engine that is gone frees a slot whose order may still be sent
 *   FAULT_STALE_OWNER         a restarted owner sends the order of its last lifetime
 */

#define ENGINES 2
#define FENCES 3
#define ENFORCES(e) ((e) == 0)

/* The row of the model, and the fencing counters of the engine rows. */
bool used;
byte s_engine, s_einc, s_owner, s_oinc, s_fence;
bool s_dead;
byte counter[ENGINES];

/* The engines. */
bool loaded[ENGINES];
byte highest[ENGINES];
byte einc[ENGINES];
/* The engine is gone and has not come back; the instance list does not show it. */
bool down[ENGINES];

/* Orders in transit and their answers, by engine and fencing number. */
bool load_sent[6], unload_sent[6];
byte load_einc[6], unload_einc[6];
bool load_answered[6], unload_done[6];

byte oinc[2];

/* Restarts that may still happen. */
byte engine_restarts = 1, instance_restarts = 1;

#define IX(e, f) ((e) * FENCES + (f) - 1)

inline forget_load() {
	mine = false;
	sent = false;
	m_engine = 0;
	m_einc = 0;
	m_fence = 0
}

inline forget_unload() {
	unloading = false;
	u_dead = false;
	u_engine = 0;
	u_einc = 0;
	u_fence = 0;
	u_slot = 0
}

inline free_slot() {
	used = false;
	s_engine = 0;
	s_einc = 0;
	s_owner = 0;
	s_oinc = 0;
	s_fence = 0;
	s_dead = false
}

inline check_bound() {
	assert(!(loaded[0] && loaded[1]))
}

#define OWNER_GONE (oinc[s_owner] != s_oinc && !load_sent[IX(s_engine, s_fence)])
#define ENGINE_GONE (einc[s_engine] != s_einc)
#define ORDER_DEAD (s_dead || OWNER_GONE)

proctype Engine(byte e) {
	byte f;
end:
	do
	:: atomic {
		if
		:: load_sent[IX(e, 1)] -> f = 1
		:: load_sent[IX(e, 2)] -> f = 2
		:: load_sent[IX(e, 3)] -> f = 3
		fi;
		if
		:: load_sent[IX(e, f)] && !down[e] ->
			load_sent[IX(e, f)] = false;
			if
			:: ENFORCES(e) && (f < highest[e]
#ifndef FAULT_NO_INCARNATION
				|| load_einc[IX(e, f)] != einc[e]
#endif
				) -> load_answered[IX(e, f)] = true
			:: else ->
				loaded[e] = true;
				check_bound();
				if
				:: f > highest[e] -> highest[e] = f
				:: else -> skip
				fi;
				/* The answer arrives or is lost. */
				if
				:: load_answered[IX(e, f)] = true
				:: skip
				fi
			fi
		:: else -> skip
		fi;
		f = 0
	}
	:: atomic {
		if
		:: unload_sent[IX(e, 1)] -> f = 1
		:: unload_sent[IX(e, 2)] -> f = 2
		:: unload_sent[IX(e, 3)] -> f = 3
		fi;
		if
		:: unload_sent[IX(e, f)] && !down[e] ->
			unload_sent[IX(e, f)] = false;
			if
			:: ENFORCES(e) && (f < highest[e]
#ifndef FAULT_NO_INCARNATION
				|| unload_einc[IX(e, f)] != einc[e]
#endif
				) -> skip
			:: else ->
				loaded[e] = false;
				if
				:: f > highest[e] -> highest[e] = f
				:: else -> skip
				fi;
				if
				:: unload_done[IX(e, f)] = true
				:: skip
				fi
			fi
		:: else -> skip
		fi;
		f = 0
	}
	:: atomic {
		engine_restarts > 0 ->
		engine_restarts--;
		einc[e]++;
		down[e] = true;
		loaded[e] = false;
		highest[e] = 0
	}
	:: atomic { down[e] -> down[e] = false }
	od
}

proctype Instance(byte me) {
	/* The load order that this lifetime owns. */
	bool mine, sent;
	byte m_engine, m_einc, m_fence;
	/* The unload that this lifetime executes. */
	bool unloading, u_dead;
	byte u_engine, u_einc, u_fence, u_slot;
end:
	do
	/* Reserve: one transaction over the model row and the engine row. */
	:: atomic {
		!used && !mine ->
		if
		:: m_engine = 0
		:: m_engine = 1
		fi;
		if
		:: counter[m_engine] < FENCES ->
			counter[m_engine]++;
			used = true;
			s_engine = m_engine;
			s_einc = einc[m_engine];
			s_owner = me;
			s_oinc = oinc[me];
			s_fence = counter[m_engine];
			s_dead = false;
			mine = true;
			sent = false;
			m_einc = s_einc;
			m_fence = s_fence
		:: else -> skip
		fi
	}
	/* Send the load order, once. */
	:: atomic {
		mine && !sent ->
		load_sent[IX(m_engine, m_fence)] = true;
		load_einc[IX(m_engine, m_fence)] = m_einc;
		sent = true
	}
#ifdef FAULT_SEND_TWICE
	:: atomic {
		mine && sent && !load_sent[IX(m_engine, m_fence)] ->
		load_sent[IX(m_engine, m_fence)] = true
	}
#endif
	/* Record that the order can't take effect any more. */
	:: atomic {
		mine && sent && load_answered[IX(m_engine, m_fence)] ->
		if
		:: used && s_engine == m_engine && s_fence == m_fence -> s_dead = true
		:: else -> skip
		fi;
		forget_load()
	}
	/*
	 * The attempt ended without an answer, and the engine is gone. The order
	 * was delivered or is lost.
	 */
	:: atomic {
		mine && sent && !load_answered[IX(m_engine, m_fence)] && einc[m_engine] != m_einc ->
		load_sent[IX(m_engine, m_fence)] = false;
		if
		:: used && s_engine == m_engine && s_fence == m_fence -> s_dead = true
		:: else -> skip
		fi;
		forget_load()
	}
	/* Withdraw an order that was never sent. */
	:: atomic {
		mine && !sent ->
		if
		:: used && s_engine == m_engine && s_fence == m_fence -> s_dead = true
		:: else -> skip
		fi;
		forget_load()
	}
	/*
	 * Decide to unload: one transaction with a newer fencing number, then the
	 * order. It may be delivered at any later time or never, so sending it in
	 * the same step excludes no behavior.
	 */
	:: atomic {
		used && !unloading && counter[s_engine] < FENCES ->
#ifndef FAULT_SAME_FENCE
		counter[s_engine]++;
#endif
		unloading = true;
		u_engine = s_engine;
		u_einc = einc[s_engine];
		u_fence = counter[s_engine];
		u_slot = s_fence;
		u_dead = ORDER_DEAD;
		unload_sent[IX(u_engine, u_fence)] = true;
		unload_einc[IX(u_engine, u_fence)] = u_einc
	}
	/* The unload is answered: free the slot where that is evidence. */
	:: atomic {
		unloading && unload_done[IX(u_engine, u_fence)] ->
		unload_done[IX(u_engine, u_fence)] = false;
		if
		:: used && s_engine == u_engine && s_fence == u_slot && (
#ifdef FAULT_UNLOAD_PROVES_ALL
			true
#else
			u_dead || ENFORCES(u_engine)
#endif
			) -> free_slot()
		:: else -> skip
		fi;
		forget_unload()
	}
	/* Give up an unload whose answer is lost; another one may follow. */
	:: atomic {
		unloading && !unload_sent[IX(u_engine, u_fence)] && !unload_done[IX(u_engine, u_fence)] ->
		forget_unload()
	}
	/*
	 * Free the slot of an engine whose lifetime is over. An engine that ignores
	 * fencing may have executed the load order in its next lifetime, so for such
	 * an engine only an unload proves that the model is not loaded. While there
	 * is no next lifetime, the order must be unable to take effect any more.
	 */
	:: atomic {
		used && ENGINE_GONE &&
#ifdef FAULT_RESTART_PROVES_ABSENCE
		ORDER_DEAD ->
#else
		(ENFORCES(s_engine) || down[s_engine]
#ifndef FAULT_GONE_ENDS_ORDER
			&& ORDER_DEAD
#endif
			) ->
#endif
		free_slot()
	}
#ifdef FAULT_FREE_ON_LAPSE
	:: atomic { used -> free_slot() }
#endif
	/* Restart: the next lifetime knows nothing of this one. */
	:: atomic {
		instance_restarts > 0 ->
		instance_restarts--;
		oinc[me]++;
#ifndef FAULT_STALE_OWNER
		forget_load();
#endif
		forget_unload()
	}
	od
}

init {
	atomic {
		run Engine(0);
		run Engine(1);
		run Instance(0);
		run Instance(1)
	}
}
