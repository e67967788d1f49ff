package rptoml

// Codes of problems. They don't change between versions. The table in
// internal/rpmessage describes each of them.
const (
	CodeTOMLInvalid       = "toml_invalid"
	CodeTooManyProblems   = "too_many_problems"
	CodeFileTooLarge      = "file_too_large"
	CodeFileUnreadable    = "file_unreadable"
	CodeKeyMissing        = "key_missing"
	CodeKeyUnknown        = "key_unknown"
	CodeTypeWrong         = "type_wrong"
	CodeValueInvalid      = "value_invalid"
	CodeOutOfRange        = "out_of_range"
	CodeTooManyEntries    = "too_many_entries"
	CodeListEmpty         = "list_empty"
	CodeNameInvalid       = "name_invalid"
	CodeSumInvalid        = "sum_invalid"
	CodeDuplicate         = "duplicate"
	CodeContradiction     = "contradiction"
	CodeBaseModelUnknown  = "base_model_unknown"
	CodeServiceMismatch   = "service_mismatch"
	CodeAddressUnusable   = "address_unusable"
	CodeCertificateWrong  = "certificate_wrong"
	CodePrivateKeyWrong   = "private_key_wrong"
	CodeCredentialMissing = "platform_key_missing"
)
