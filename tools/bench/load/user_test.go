package main

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/pkg/answers"
)

const examples = "../../../examples"

// Guards against stretched answers that a daemon refuses or that change the utilisation, which would
// turn the declared rates into a flood.
func TestStretchedAnswersKeepUtilisation(t *testing.T) {
	is := is.New(t)
	const scale = 0.25
	original, err := loadUsers(examples, 1)
	is.NoErr(err)
	stretched, err := loadUsers(examples, scale)
	is.NoErr(err)
	for n, u := range stretched {
		var all []*answers.Answers
		for i, s := range u.services {
			a, faults := answers.Parse(s.Name, answerFile(s))
			is.NoErr(faults.Err())
			all = append(all, a)
			for k := range s.Kinds {
				read, declared := &answers.Generate(a).Kinds[k], &original[n].services[i].Kinds[k]
				is.Equal(read.Deadline, s.Kinds[k].Deadline)
				is.Equal(read.Calls, declared.Calls)
				slots := read.ExpectedRate * read.ServiceTime.Seconds()
				want := declared.ExpectedRate * declared.ServiceTime.Seconds()
				is.True(math.Abs(slots-want) < 0.01*want)
			}
		}
		is.NoErr(answers.Check(all).Err())
	}
}

// Guards against a flood of another kind than the most or least urgent one, and against calls between
// services that come on top of the declared rate.
func TestFloodAndDirectRates(t *testing.T) {
	is := is.New(t)
	users, err := loadUsers(examples, 1)
	is.NoErr(err)
	pages, finder := users[0].service("pages"), users[0].service("finder")
	is.Equal(extreme(pages, true).Name, "save")
	is.Equal(extreme(pages, false).Name, "preview")
	is.Equal(extreme(finder, true).Name, "search")
	is.Equal(users[0].directRate(finder, extreme(finder, true)), 660.0)              // 700 without 40 of saves
	is.Equal(math.Round(users[0].floodRate(pages, extreme(pages, true), 3)), 4800.0) // 3 x 48 slots / 30 ms
}
