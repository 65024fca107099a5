package sync

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

const (
	// failedQuestionRate (lines/s) and failedQuestionBurst limit the log lines about questions for
	// new configurations that failed.
	failedQuestionRate  = 1
	failedQuestionBurst = 4
)

// answers records when those that provide configurations last answered.
type answers struct {
	source, parent atomic.Pointer[time.Time]
	failed         *rate.Limiter
}

func newAnswers() answers {
	return answers{failed: rate.NewLimiter(failedQuestionRate, failedQuestionBurst)}
}

// noAnswer is the age of the last answer if there was none.
const noAnswer = -1 * time.Second

func ageOf(last *atomic.Pointer[time.Time]) time.Duration {
	if t := last.Load(); t != nil {
		return elapsed(*t)
	}
	return noAnswer
}

// elapsed returns the time since t by the steady clock or by the time of day, whichever is longer:
// the steady clock stops while a machine is suspended.
func elapsed(t time.Time) time.Duration {
	now := time.Now()
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}

func answeredNow(last *atomic.Pointer[time.Time]) {
	now := time.Now()
	last.Store(&now)
}

// logFailedQuestion logs that asked, the source or a parent, did not answer a question for a new
// version, unless this daemon is stopping.
func (f *Follower) logFailedQuestion(ctx context.Context, asked string, err error) {
	if ctx.Err() == nil && f.answers.failed.Allow() {
		f.cfg.Log.Log(event.QuestionFailed, append(f.ages(), zap.String("asked", asked), zap.Error(err))...)
	}
}

// ages returns the ages of the last answers as fields of a log line.
func (f *Follower) ages() []zap.Field {
	age, _ := f.confirmationAge()
	return []zap.Field{
		zap.Duration("knowledge_age", age),
		zap.Duration("source_answer_age", ageOf(&f.answers.source)),
		zap.Duration("parent_answer_age", ageOf(&f.answers.parent)),
	}
}

// logProviders logs from which daemons this one expects new versions if that has changed.
func (f *Follower) logProviders(before, now *treePosition) {
	if before != nil && before.holders == now.holders && slices.Equal(before.Parents, now.Parents) {
		return
	}
	f.cfg.Log.Log(event.ProvidersChanged, append(f.ages(),
		zap.Any("readers", now.holders), zap.Any("parents", now.Parents), zap.Any("cut_off", f.markedAway()),
		zap.Bool("reader", now.isHolder(f.cfg.Self.Instance)))...)
}

// markedAway returns the members of the local failure domain that are marked as unable to reach the
// source.
func (f *Follower) markedAway() []endpoint.InstanceID {
	view := f.cfg.Members.View()
	if view.Own == nil {
		return nil
	}
	var marked []endpoint.InstanceID
	for _, id := range view.Own.Instances {
		if view.Records[id].SourceAway {
			marked = append(marked, id)
		}
	}
	return marked
}

// SourceStatus describes how this daemon learns of new versions.
type SourceStatus struct {
	// Reader is set if this daemon reads the source for its failure domain, Away if it is marked as
	// unable to reach the source.
	Reader, Away bool
	// MarkedAway lists the members of the failure domain that are marked so.
	MarkedAway []endpoint.InstanceID
	// SourceAnswer and ParentAnswer are the times since the last answer; below 0 without one.
	SourceAnswer, ParentAnswer time.Duration
	// Age is the age of the knowledge of this daemon: every version acknowledged before is in force.
	// It is below 0 if that is unknown.
	Age time.Duration
}

// SourceStatus returns how this daemon learns of new versions.
func (f *Follower) SourceStatus() SourceStatus {
	marked := f.markedAway()
	age, _ := f.confirmationAge()
	return SourceStatus{
		Reader: f.cfg.Source != nil && f.isReader(), Away: slices.Contains(marked, f.cfg.Self.Instance), MarkedAway: marked,
		SourceAnswer: ageOf(&f.answers.source), ParentAnswer: ageOf(&f.answers.parent), Age: age,
	}
}
