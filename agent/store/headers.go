package store

import (
	"context"

	"github.com/aws/smithy-go/middleware"
	smithyhttp "github.com/aws/smithy-go/transport/http"
)

// optionalHeaders leaves out headers that the stores do not need: those for statistics, which are the
// user agent, an identifier and the number of the attempt, and the one that refuses compressed responses.
// They are 40% of a request for the head.
var optionalHeaders = []func(*middleware.Stack) error{
	func(s *middleware.Stack) error { _, err := s.Build.Remove("UserAgent"); return err },
	func(s *middleware.Stack) error { _, err := s.Build.Remove("ClientRequestID"); return err },
	func(s *middleware.Stack) error {
		return s.Finalize.Insert(middleware.FinalizeMiddlewareFunc("OptionalHeaders", dropHeaders), "Retry", middleware.After)
	},
}

// dropHeaders runs before the request is signed, as the signature lists the headers that it covers.
func dropHeaders(ctx context.Context, in middleware.FinalizeInput, next middleware.FinalizeHandler) (middleware.FinalizeOutput, middleware.Metadata, error) {
	if r, ok := in.Request.(*smithyhttp.Request); ok {
		r.Header.Del("Amz-Sdk-Request")
		r.Header.Del("Accept-Encoding")
	}
	return next.HandleFinalize(ctx, in)
}
