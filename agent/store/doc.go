// Package store is the client of the users' table service (DynamoDB API) and object store (S3 API).
// It reads the head and the configuration objects, and carries out the changes of operators.
//
// Every write that is not idempotent carries a token. If its response is lost, the client reads the
// token back. It retries a write only under a condition that prevents the write from taking effect
// twice.
//
// The table has the string keys pk (partition key) and sk (sort key). Its rows:
//
//	pk                  sk                 content
//	head                head               version, manifest and token of the configuration in force
//	change#<version>    change             the accept or withdraw that produced the version
//	token#<token>       token              the same change, found by its change token
//	revision#<service>  <20-digit number>  the same change, found by service and revision
//	draft               <service>          the submitted draft of a service
//	lease               <name>             holder, fencing token, expiry in ms, published value
//	departure           <instance>         ID and start in ms of the last backend server that left, time
//	operator#<sha256>   operator           operator (name), services (string set, * for all)
//
// The administrators of the platform write the operator rows; <sha256> is the hash of the bearer
// token in lower-case hexadecimal. Objects are stored under objects/<sha256 of the content>.
package store
