package agent

import (
	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/agent/platform"
	"kingcupwood.example/kingcupwood/pkg/answers"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// generator returns the functions that turn answers into configuration.
func generator() platform.Generator {
	return platform.Generator{
		Parse: func(file string, data []byte) (platform.Answers, error) {
			parsed, faults := answers.Parse(file, data)
			if len(faults) > 0 {
				return nil, faults
			}
			return parsed, nil
		},
		Check:          checkAnswers,
		Generate:       func(a platform.Answers) *snapshot.Service { return answers.Generate(a.(*answers.Answers)) },
		Encode:         snapshot.Encode,
		Decode:         snapshot.Decode,
		EncodeManifest: snapshot.EncodeManifest,
		DecodeManifest: snapshot.DecodeManifest,
		Build:          snapshot.Build,
		Diff:           snapshot.Diff,
	}
}

func checkAnswers(all []platform.Answers) error {
	typed := make([]*answers.Answers, len(all))
	for i, a := range all {
		parsed, ok := a.(*answers.Answers)
		if !ok {
			return errors.Errorf("unexpected answers of type %T", a)
		}
		typed[i] = parsed
	}
	if faults := answers.Check(typed); len(faults) > 0 {
		return faults
	}
	return nil
}
