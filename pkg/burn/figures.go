package burn

// Burn rates from which a kind is in trouble. A rate of 1 uses up exactly the allowed share; a rate of
// 14.4 for an hour uses up 2% of the share allowed in 30 days, the usual threshold for a page.
const (
	SlowBurn = 1.0
	FastBurn = 14.4
)

// Status summarises the burn rates of both windows.
type Status string

// The statuses.
const (
	StatusOK Status = "ok"
	// StatusSlow and StatusFast mean that the burn rate of both windows is above SlowBurn or
	// FastBurn. The long window shows that it matters, the short one that it still goes on.
	StatusSlow Status = "slow burn"
	StatusFast Status = "fast burn"
)

// Figures are the rates derived from counts and objectives.
type Figures struct {
	// BurnShort and BurnLong are the shares of bad requests in the windows divided by the allowed
	// share.
	BurnShort float64 `json:"burn_short"`
	BurnLong  float64 `json:"burn_long"`
	// BudgetLeft is the part of the allowed bad requests since the start that is left; it is
	// negative if there were more.
	BudgetLeft float64 `json:"budget_left"`
	Status     Status  `json:"status"`
}

// Figures returns the rates of a kind.
func (k Kind) Figures() Figures {
	allowed := 1 - k.Objective
	burn := func(c Counts) float64 { return burnRate(float64(c.Bad()), allowed*float64(c.Total())) }
	return newFigures(burn(k.Short), burn(k.Long), burn(k.Total))
}

func newFigures(short, long, total float64) Figures {
	f := Figures{BurnShort: short, BurnLong: long, BudgetLeft: 1 - total, Status: StatusOK}
	switch lowest := min(short, long); {
	case lowest > FastBurn:
		f.Status = StatusFast
	case lowest > SlowBurn:
		f.Status = StatusSlow
	}
	return f
}

func burnRate(bad, allowed float64) float64 {
	if bad == 0 {
		return 0
	}
	return bad / allowed
}

// Rank is the service level of all kinds of one rank.
type Rank struct {
	Rank  int    `json:"rank"`
	Total Counts `json:"total"`
	Short Counts `json:"short"`
	Long  Counts `json:"long"`
	// WorthShare is the share of the worth of all requests in the long window that was good.
	WorthShare float64 `json:"worth_share"`
	Figures    `json:"figures"`
}

// Ranks returns the service level by rank, the most urgent first. The burn rates compare the sum of
// bad requests with the sum that the objectives of the kinds allow.
func (r *Report) Ranks() []Rank {
	var ranks []Rank
	for start := 0; start < len(r.Kinds); {
		end := start
		for end < len(r.Kinds) && r.Kinds[end].Rank == r.Kinds[start].Rank {
			end++
		}
		ranks = append(ranks, sumRank(r.Kinds[start:end]))
		start = end
	}
	return ranks
}

func sumRank(kinds []Kind) Rank {
	sum := Rank{Rank: kinds[0].Rank, WorthShare: 1}
	var short, long, total, worth, goodWorth float64
	for _, k := range kinds {
		sum.Total, sum.Short, sum.Long = sum.Total.Plus(k.Total), sum.Short.Plus(k.Short), sum.Long.Plus(k.Long)
		allowed := 1 - k.Objective
		short += allowed * float64(k.Short.Total())
		long += allowed * float64(k.Long.Total())
		total += allowed * float64(k.Total.Total())
		worth += float64(k.Worth) * float64(k.Long.Total())
		goodWorth += float64(k.Worth) * float64(k.Long.Good)
	}
	if worth > 0 {
		sum.WorthShare = goodWorth / worth
	}
	sum.Figures = newFigures(burnRate(float64(sum.Short.Bad()), short),
		burnRate(float64(sum.Long.Bad()), long), burnRate(float64(sum.Total.Bad()), total))
	return sum
}
