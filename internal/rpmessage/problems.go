package rpmessage

// problems contains the codes of internal/rptoml. A printed problem also states
// its line, its key and what to write.
var problems = []Message{
	problem("toml_invalid", "The file is not TOML.", "Correct the line that is named, then check the file again."),
	problem("too_many_problems", "The file has more problems than are listed.", "Correct the listed problems, then check the file again."),
	problem("file_too_large", "The file is larger than the limit.", "Make the file smaller."),
	problem("file_unreadable", "A file can't be read.", "Check the name and the permissions of the file."),
	problem("key_missing", "A required key is missing.", "Write the key."),
	problem("key_unknown", "The key does not exist at this place.", "Correct its name, or remove it."),
	problem("type_wrong", "The value has the wrong type for this key.", "Write a value of the type that is named."),
	problem("value_invalid", "The text or number is not allowed for this key.", "Write a value of the form that is named."),
	problem("out_of_range", "The number, size or duration is too small or too large.", "Write a value in the range that is named."),
	problem("too_many_entries", "The list has more entries than the limit.", "Remove entries."),
	problem("list_empty", "The list needs at least one entry.", "Write an entry."),
	problem("name_invalid", "The name has characters that are not allowed, or is too long.", "Write a name of the form that is named."),
	problem("sum_invalid", "The value is not the SHA-256 sum of a credential.", "Write the sum that sha256sum prints for the credential."),
	problem("duplicate", "The same name, address or route appears in the file twice.", "Remove or rename one of the two."),
	problem("contradiction", "Two values of the file do not fit together.", "Change one of the two values that are named."),
	problem("base_model_unknown", "An adapter names a base model that the document does not declare.", "Declare the model, or correct the name."),
	problem("service_mismatch", "The document belongs to another service than the one it was submitted for.", "Submit it for its own service."),
	problem("address_unusable", "Others can't connect to the address.", "Write the IP address of this instance."),
	problem("certificate_wrong", "The file has no certificate, or one that other instances refuse.", "Name a certificate that is valid and signed by the authority."),
	problem("private_key_wrong", "The file has no private key, or the key of another certificate.", "Name the key of the certificate."),
	problem("never_matches", "No request can match this entry of a configuration.", "Correct the value that is named, or remove the entry."),
	problem("account_without_keys", "The account of a configuration has no keys.", "Add a key, or remove the account."),
	problem("key_shared", "Two accounts of a configuration have the same key.", "Give each account keys of its own."),
	problem("service_unknown", "A route of a configuration names a service that the file lacks.", "Add the service, or correct its name."),
	problem("weight_zero", "A part of a split has the weight 0.", "Write a weight above 0, or remove the part."),
	problem("model_too_large", "A model of a configuration does not fit into an engine.", "Correct one of the sizes, or remove the model."),
	problem("version_old", "The version of a configuration is not higher than that in force.", "Write a higher version."),
	problem("platform_key_missing", "A key for the platform's services is empty.", "Write the key, or the name of a file that holds it."),
}
