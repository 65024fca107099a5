// Package store is the client of the users' table service (DynamoDB API) and object store (S3
// API). It reads the head and the configuration objects, and carries out the changes of operators.
//
// Every write that is not idempotent carries a token. If the response to it is lost, the client
// reads the token back; it repeats a write only under the condition that makes a second effect
// impossible.
//
// The table has the string keys pk (partition) and sk (sort). Its rows:
//
//	pk                  sk                 content
//	head                head               version, manifest, token of the configuration in force
//	change#<version>    change             the accept or withdraw that produced the version
//	token#<token>       token              the same change, found by its change token
//	revision#<service>  <20-digit number>  the same change, found by service and revision
//	draft               <service>          the submitted draft of a service
//	lease               <name>             holder, fencing token, expiry in ms, published value
//	operator#<sha256>   operator           operator (name), services (string set, * for all)
//
// The operator rows are written by whoever runs the platform; <sha256> is that of the bearer token in
// lower-case hexadecimal. Objects are stored under objects/<sha256 of the content>.
package store
