package platform

import (
	"github.com/aws/smithy-go/middleware"
)

// optionalHeaders are the steps of the SDK that add headers for statistics: the user agent, and an
// identifier and the number of the attempt. They are a third of a request for the head.
var optionalHeaders = []func(*middleware.Stack) error{
	func(s *middleware.Stack) error { _, err := s.Build.Remove("UserAgent"); return err },
	func(s *middleware.Stack) error { _, err := s.Build.Remove("ClientRequestID"); return err },
}
