package rpmessage

// callerRefusals contains the codes of pkg/rpverdict.
var callerRefusals = []Message{
	caller("malformed_request", "The request can't be read.", "Ask the caller to send the request in the form of the interface."),
	caller("body_too_large", "The body is larger than the limit.", "Ask the caller to send less, or raise limits.request_body_bytes in the settings."),
	caller("unknown_model", "No accepted document declares this model or adapter.", "Compare the name with the document of the service."),
	caller("unknown_service", "No accepted document declares this service.", "Compare the name with the list of documents."),
	caller("unknown_route", "The document of the service declares no route for this path and method.", "Add the route to the document, or correct the path or method."),
	caller("caller_not_allowed", "The credential is not allowed to call this service.", "Add the sum of the credential to callers in the document, or use another credential."),
	caller("idempotency_key_required", "This request may run only once and needs the header Idempotency-Key.", "Ask the caller to send a new key with each new request."),
	caller("idempotency_key_reused", "The idempotency key was used before with another request.", "Ask the caller to use a key for one request only."),
	caller("invalid_header", "A request header has a value that is not allowed.", "Ask the caller to correct the header that the detail names."),
	caller("no_document", "This instance has not received the service document yet.", "Wait 3 s, then look at the output of document status."),
	caller("draining", "This instance is stopping. Another instance can serve the request.", "Check that the balancer asks /readyz once a second."),
	caller("queue_full", "The queue of this rank is full.", "Send less work of this rank, or add engines."),
	caller("deadline_unreachable", "The predicted wait is longer than the deadline allows.", "Allow more time, keep warm replicas, or add engines."),
	caller("deadline_exceeded", "The deadline passed before the answer was complete.", "Run explain with the id of the request to see where the time went."),
	caller("no_replica", "No replica of the model is loaded and none can be loaded now.", "Look at memory and spend in the output of status, and at the table service."),
	caller("accelerator_hours_used", "The service has used its accelerator hours of this day, and no replica of the model is loaded.", "Wait for the next day (UTC), or raise spend.accelerator_hours_per_day in the document."),
	caller("no_endpoint", "No endpoint of the service is available.", "Check that the endpoints of the service run and are in the instance list."),
	caller("table_unavailable", "The table service is unavailable, so a request that may run only once can't be started.", "Restore the table service, then send the request again."),
	caller("attempt_failed", "The endpoint failed to answer.", "Look at the verdict first, then at the log of the endpoint."),
	caller("stream_broken", "The stream broke and could not be resumed.", "Look at the verdict before you send the request again."),
	caller("earlier_attempt_unknown", "An earlier request with this idempotency key may have run. Its outcome is not known.", "Find out at the endpoint whether the work ran before you use a new key."),
	caller("outcome_not_kept", "An earlier request with this idempotency key ran. Its answer was too large to keep.", "Do not send the request again; get the outcome from the endpoint."),
	caller("too_many_streams", "This instance has reached its limit of requests in progress.", "Add instances, or raise limits.requests_in_progress in the settings."),
	caller("prompt_quarantined", "Engines crashed on a part of the prompt, so the request is kept away from them.", "Find out from the part that the detail names why engines crash on it."),
	caller("quarantine_unknown", "This instance has just started and does not know yet which prompts crash engines.", "If it lasts, check the connections of the instance to the store and to the planner."),
	caller("unknown_key", "The request has no key of a client account.", "Compare the digest in the log line with the keys of the account; see docs/operators/accounts.md."),
	caller("accounts_unconfirmed", "This instance can't confirm that the key was not withdrawn.", "Check the connections of the instance to the planner and to the store."),
	caller("quota_exceeded", "The client account has used its quota.", "Raise the quota of the account, or ask the caller to send less."),
	caller("memory_short", "The memory of this instance for requests is used up. Another instance can serve the request.", "Find out who holds the memory: docs/operators/memory.md."),
}

// operatorRefusals contains the codes of internal/rpoperator.
var operatorRefusals = []Message{
	operator("not_found", "The operators' interface has no such path.", "Correct the path."),
	operator("method_not_allowed", "The path does not have this method.", "Use a method that the path has."),
	operator("unknown_service", "This instance has no document of this service.", "Compare the name with the output of document list."),
	operator("credential_missing", "The request has no credential.", "Give the credential of an editor."),
	operator("credential_not_allowed", "The credential may not change this document or read its history.", "Ask an editor of the service to do it."),
	operator("edited_version_missing", "The request does not say which version was edited.", "Give the version that you edited, or 0 for a new service."),
	operator("edited_version_invalid", "The version that was edited is not a number.", "Give a whole number."),
	operator("body_too_large", "The document is larger than the limit.", "Make the document smaller."),
	operator("body_unreadable", "The body ended early.", "Send the document again."),
	operator("document_invalid", "The document has problems and was not accepted.", "Correct the problems that are listed, then check the document."),
	operator("version_conflict", "Another version was accepted first.", "Get the version in force, apply your change to it, and submit it again."),
	operator("instance_behind", "This instance does not have the version that you edited.", "Wait 3 s, or ask another instance."),
	operator("too_many_submissions", "Too many submissions wait for their outcome.", "Wait 1 s, then submit again."),
	operator("platform_unavailable", "The platform's service is not available, and nothing was accepted.", "Restore the service, then submit again."),
	operator("outcome_unknown", "The platform gave no answer in time, so the document may have been accepted.", "Look at the version in force before you submit again."),
	operator("not_ready", "The instance takes no work from callers now.", "Wait, or look at the reason in the detail."),
	operator("not_healthy", "The event loop of the instance does not answer.", "Replace the process."),
	operator("version_not_kept", "The row of the document in the table does not list this version.", "Choose a version that document history lists."),
	operator("platform_unreadable", "The table or the object store could not be read.", "Restore the service, then run the command again."),
	operator("query_invalid", "A parameter of the time line is wrong.", "Correct the parameter that the detail names."),
}

// commandExits contains the exit codes of internal/rpcommand.
var commandExits = []Message{
	exit("exit_done", "The command did what it was asked.", nothing),
	exit("exit_failed", "The command failed for another reason. The message says why.", "Remove the cause that the message names, then run the command again."),
	exit("exit_usage", "The arguments are wrong. Nothing was done.", "Run the command with --help and correct the arguments."),
	exit("config_findings", "A configuration has findings: entries that have no effect, or limits that contradict each other.", "Correct the findings that are listed, then check the file again."),
	exit("config_unreadable", "A configuration can't be read, or it is not JSON.", "Check the name of the file and the line that is named."),
	exit("exit_invalid", "A settings file or a document has problems. Nothing was done.", "Correct the problems that are listed."),
	exit("exit_refused", "The credential does not allow this, or the instance refused the request.", "Read the reason in the message."),
	exit("exit_conflict", "Another version of the document was accepted first. Yours was not accepted.", "Get the version in force, apply your change to it, and submit it again."),
	exit("exit_unavailable", "The instance or the platform's service is not available. Nothing was done.", "Check the address and the service, then run the command again."),
	exit("exit_unknown", "The outcome is not known: the document may have been accepted. Look before you try again.", "Run document show and compare the version before you submit again."),
}

// timelineRemarks contains the codes of internal/rptimeview.
var timelineRemarks = []Message{
	remark("timeline_gap_overwritten", "The instance overwrote its oldest entries.", "Run the command sooner after the event."),
	remark("timeline_gap_limit", "The instance has more entries than the limit.", "Raise --limit, or add a filter."),
	remark("timeline_gap_started", "The process started in the time that you asked for, and entries of an earlier process are gone.", "Look at the log of the earlier process."),
	remark("timeline_unreachable", "An address did not return a time line.", "Check the address and the instance, then run the command again."),
	remark("timeline_not_asked", "A live instance did not return a time line.", "Add its operators' address to the command."),
	remark("timeline_clock_rejected", "A message from another instance had a timestamp more than 1 minute ahead of the local clock.", "Correct the clock of the host of the other instance."),
}
