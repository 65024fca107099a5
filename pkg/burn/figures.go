package burn

// Burn rate thresholds of the statuses. A rate of 1 consumes exactly the error budget; a rate of
// 14.4 for one hour consumes 2% of the error budget of 30 days, a common threshold for paging.
const (
	SlowBurn = 1.0
	FastBurn = 14.4
)

// Status classifies a kind or rank by the burn rates of both windows.
type Status string

// The statuses.
const (
	StatusOK Status = "ok"
	// StatusSlow and StatusFast mean that the burn rate of both windows is above SlowBurn or
	// FastBurn. The long window shows that the errors are significant, the short window that they
	// are still occurring.
	StatusSlow Status = "slow burn"
	StatusFast Status = "fast burn"
)

// Figures holds the service level indicators derived from counts and objectives.
type Figures struct {
	// BurnShort and BurnLong are the burn rates of the windows: the share of bad requests divided
	// by the share that the objective allows.
	BurnShort float64 `json:"burn_short"`
	BurnLong  float64 `json:"burn_long"`
	// BudgetLeft is the unused share of the error budget since the start. It is negative if the
	// budget is exceeded.
	BudgetLeft float64 `json:"budget_left"`
	Status     Status  `json:"status"`
}

// Figures returns the burn rates, remaining error budget and status of a kind.
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

// Rank is the service level of all kinds of one rank together.
type Rank struct {
	Rank  int    `json:"rank"`
	Total Counts `json:"total"`
	Short Counts `json:"short"`
	Long  Counts `json:"long"`
	// WorthShare is the share of good requests in the long window, weighted by the worth of their
	// kinds.
	WorthShare float64 `json:"worth_share"`
	Figures    `json:"figures"`
}

// Ranks returns the service level by rank, most urgent rank first. The burn rate of a rank is the
// sum of its bad requests divided by the sum of those that the objectives of its kinds allow.
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
