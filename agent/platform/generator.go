package platform

import "kingcupwood.example/kingcupwood/pkg/snapshot"

// Answers is a parsed answer file; only the functions of a Generator look inside.
type Answers any

// Generator holds the functions of pkg/answers and pkg/snapshot that the client needs. All of them
// are pure. Errors of Parse, Check and Build state one reason on each line.
type Generator struct {
	Parse          func(file string, data []byte) (Answers, error)
	Check          func(all []Answers) error
	Generate       func(a Answers) *snapshot.Service
	Encode         func(s *snapshot.Service) ([]byte, snapshot.Hash, error)
	Decode         func(data []byte, want snapshot.Hash) (*snapshot.Service, error)
	EncodeManifest func(m *snapshot.Manifest) ([]byte, snapshot.Hash, error)
	DecodeManifest func(data []byte, want snapshot.Hash) (*snapshot.Manifest, error)
	Build          func(m *snapshot.Manifest, objects map[snapshot.Hash][]byte) (*snapshot.Snapshot, error)
	Diff           func(old, new *snapshot.Service) []string
}
