package store

import (
	"context"

	"github.com/aws/smithy-go/middleware"
	smithyhttp "github.com/aws/smithy-go/transport/http"
)

// optionalHeaders removes headers that the stores do not need, which are 40% of a request for the
// head: the statistics headers (user agent, invocation ID and attempt number) and Accept-Encoding,
// which only declines compressed responses.
var optionalHeaders = []func(*middleware.Stack) error{
	func(s *middleware.Stack) error { _, err := s.Build.Remove("UserAgent"); return err },
	func(s *middleware.Stack) error { _, err := s.Build.Remove("ClientRequestID"); return err },
	func(s *middleware.Stack) error {
		return s.Finalize.Insert(middleware.FinalizeMiddlewareFunc("OptionalHeaders", dropHeaders), "Retry", middleware.After)
	},
}

// dropHeaders must run before the request is signed, because the signature covers the headers.
func dropHeaders(ctx context.Context, in middleware.FinalizeInput, next middleware.FinalizeHandler) (middleware.FinalizeOutput, middleware.Metadata, error) {
	if r, ok := in.Request.(*smithyhttp.Request); ok {
		r.Header.Del("Amz-Sdk-Request")
		r.Header.Del("Accept-Encoding")
	}
	return next.HandleFinalize(ctx, in)
}
