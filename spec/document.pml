/*
 * Versions of a service document.
 *
 * Two operators edit the document through two instances. A third instance only
 * receives notices. Notices between instances may be lost, delayed and
 * reordered; answers of the table may be lost; one instance restarts.
 *
 * Checked: every version has exactly one content; the version in force never
 * decreases within a lifetime of an instance; only accepted versions are in
 * force; if an operator's submission is answered with "accepted", that version
 * has the operator's content.
 *
 * Deliberate faults, for which the check must fail:
 *   FAULT_BLIND_WRITE       the row is written without a condition
 *   FAULT_ADOPT_ANY         an instance adopts a version that is not newer
 *   FAULT_ADOPT_EARLY       an instance adopts a version before the table answers
 *   FAULT_LOST_MEANS_DONE   a write whose answer is lost counts as accepted
 */

#define VERSIONS 3
#define INSTANCES 3

/* The document row: its version and the operator who wrote its content (1 or 2). */
byte version;
byte content;
/* The content of each accepted version; 0 means that it was not accepted. */
byte accepted[4];

/* The version in force at each instance, and its content. */
byte force[INSTANCES];
byte force_content[INSTANCES];
byte restarts = 1;
byte losses = 2;

inline adopt(i, v, c) {
	if
#ifdef FAULT_ADOPT_ANY
	:: v != 0 ->
#else
	:: v > force[i] ->
#endif
		assert(v > force[i] || (v == force[i] && c == force_content[i]));
		assert(accepted[v] == c);
		force[i] = v;
		force_content[i] = c
	:: else -> skip
	fi
}

/* An operator edits the current version. The content of its versions is me. */
proctype Operator(byte me) {
	byte edited;
	byte tries = 2;
	bool in_doubt;
end:
	do
	:: atomic {
		tries > 0 && !in_doubt && version < VERSIONS ->
		tries--;
		edited = version
	};
		if
#ifdef FAULT_ADOPT_EARLY
		:: atomic { edited < VERSIONS -> adopt(me - 1, edited + 1, me) }
#endif
		:: atomic {
#ifdef FAULT_BLIND_WRITE
			true ->
#else
			version == edited ->
#endif
			version = edited + 1;
			content = me;
			assert(accepted[version] == 0);
			accepted[version] = me;
			if
			:: adopt(me - 1, version, content)
			:: losses > 0 -> losses--; in_doubt = true
			fi
		}
		/* The write was lost on its way. */
		:: atomic { losses > 0 -> losses--; in_doubt = true }
#ifndef FAULT_BLIND_WRITE
		/* Another operator won: the condition fails. */
		:: version != edited -> skip
#endif
		fi
	/* Resolve a lost answer by reading the row back. */
	:: atomic {
		in_doubt ->
		in_doubt = false;
		if
#ifdef FAULT_LOST_MEANS_DONE
		:: adopt(me - 1, edited + 1, me)
#else
		:: accepted[edited + 1] == me -> adopt(me - 1, edited + 1, me)
		:: accepted[edited + 1] != me -> skip
#endif
		fi
	}
	od
}

/* Notices: at any time, any instance may send its version in force to any other. */
proctype Notices() {
	byte to, v, c;
end:
	do
	/* Take a notice from an instance or from the table. */
	:: atomic {
		v == 0 ->
		if
		:: force[0] > 0 -> v = force[0]; c = force_content[0]
		:: force[1] > 0 -> v = force[1]; c = force_content[1]
		:: force[2] > 0 -> v = force[2]; c = force_content[2]
		:: version > 0 -> v = version; c = content
		fi
	}
	/* Deliver it later, to any instance, or lose it. */
	:: atomic {
		v > 0 ->
		if
		:: to = 0
		:: to = 1
		:: to = 2
		:: to = INSTANCES
		fi;
		if
		:: to < INSTANCES -> adopt(to, v, c)
		:: else -> skip
		fi;
		to = 0;
		v = 0;
		c = 0
	}
	/* The third instance restarts and knows nothing. */
	:: atomic {
		restarts > 0 ->
		restarts--;
		force[2] = 0;
		force_content[2] = 0
	}
	od
}

init {
	atomic {
		run Operator(1);
		run Operator(2);
		run Notices();
		run Notices()
	}
}
