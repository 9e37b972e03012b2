// Package quota limits the requests of each workspace over all hosts together. It holds
// pure state machines: time, events and store answers are arguments.
//
// An issuer per region mints tokens and lends them to hosts; every attempt at a server
// needs one. Each token is counted by the issuer that minted it, from its minting until
// it has been reported as spent or has expired everywhere:
//
//   - An issuer mints r/R per second, where R is the number of regions with a cap, and
//     only while its level and its outstanding tokens together are below its cap. The caps
//     of all regions add up to C.
//   - A lent token expires at its holder no later than t after it was lent, so the
//     tokens usable at a time A were lent after A - t. The issuers of time A - t had at
//     most C in their levels, and at most r x t was minted since, however many issuers
//     followed each other: a new one starts with level 0, or with a start level that the
//     caps leave room for. A region has at most one such start in W + t; see Term.StartLevel.
//   - From A on at most r x W is minted in a window W.
//
// So at most C + r x t + r x W attempts use tokens in a window. What is left of the limit
// is divided among the hosts as safe shares. This needs at most one issuer per region at
// a time, which Term ensures, and clocks whose rates differ from real time by at most
// maxClockError.
package quota

import (
	"math"
	"time"
)

const (
	// maxClockError is the relative error of a clock's rate that the limit allows for:
	// issuers mint slower by it, and holders use tokens for a shorter time.
	maxClockError = 0.01
	// maxValidity bounds t, the time for which a lent token is valid.
	maxValidity = 500 * time.Millisecond
	// holderFraction is the part of a token's validity for which its holder uses it. By
	// then the lender, whose clock may run faster than the holder's, still counts it:
	// (1 - maxClockError) / (1 + maxClockError) is 0.98.
	holderFraction = 0.97
	// capSurplusFraction is the part of the surplus that issuers may accumulate if the rest
	// is for safe shares.
	capSurplusFraction = 0.2
	// minSafeSurplus is the surplus below which there are no safe shares and issuers may
	// accumulate all of it: with 33 hosts or more, each one's share would be 0. The
	// requests of a small workspace come in bursts that exceed its rate and burst.
	minSafeSurplus = 41
	// startTokens and startTime bound the start level: one token, and what a region mints
	// in this time. Workspaces with a high rate do not need more, because their first tokens
	// are minted within some milliseconds.
	startTokens = 1.0
	startTime   = 100 * time.Millisecond
	// minBurstSurplus is the part of the issuers' surplus that start levels leave, and half of
	// what exceeds it. With it, at least 0.95 of a demand of 0.95 of the rate is served for
	// each rate from 1 to 100 requests per second, even or all at one host; with start levels
	// of a quarter of a surplus of 10.8, 0.942 was.
	minBurstSurplus = 13
	// settleMargin stretches the time between two starts with a start level, so that it also
	// exceeds W + t if the clock that measures it is fast.
	settleMargin = 1.02
)

// Limit is the quota of a workspace. A rate of 0 means no limit.
type Limit struct{ RatePerSecond, Burst float64 }

// Bounds are the bounds of the rule for all workspaces: in any window, at most
// (rate x Window + burst) x (1 + Overage) + Slack requests reach servers.
type Bounds struct {
	Window         time.Duration
	Overage, Slack float64
}

// Max returns the greatest number of requests in any window.
func (b Bounds) Max(l Limit) float64 {
	return (l.RatePerSecond*b.Window.Seconds()+l.Burst)*(1+b.Overage) + b.Slack
}

// allowance returns what the limit exceeds rate and burst by.
func (b Bounds) allowance(l Limit) float64 {
	return b.Overage*(l.RatePerSecond*b.Window.Seconds()+l.Burst) + b.Slack
}

// Validity returns t, the time for which a lent token counts as outstanding: at most the
// time in which the allowance is minted, as tokens of an earlier issuer come on top.
func (b Bounds) Validity(l Limit) time.Duration {
	if l.RatePerSecond <= 0 {
		return maxValidity
	}
	return time.Duration(min(maxValidity.Seconds(), b.allowance(l)/l.RatePerSecond) * float64(time.Second))
}

// surplus returns what the limit leaves beyond rate, burst and tokens of earlier issuers.
func (b Bounds) surplus(l Limit) float64 {
	return max(b.allowance(l)-l.RatePerSecond*b.Validity(l).Seconds(), 0)
}

// allCaps returns the greatest sum of the caps of all regions: what is not minted in the
// window or lent by earlier issuers.
func (b Bounds) allCaps(l Limit) float64 { return l.Burst + b.surplus(l) }

// regionCap returns the cap of a region's issuer, which is at least 1 so that it can lend
// at all. If the limit is so small that the caps would exceed it, only the first
// regions have a cap, and the others borrow from them.
func (b Bounds) regionCap(l Limit, regions, index int) float64 {
	if share := b.capShare(l, regions); share >= 1 {
		return share - b.startLevel(l, regions)
	}
	if index < b.mintingRegions(l, regions) {
		return 1
	}
	return 0
}

// SafeShare returns the number of requests per window that each of the given number of
// hosts may send without tokens.
func (b Bounds) SafeShare(l Limit, regions, hosts int) int {
	left := b.allCaps(l)
	for index := range regions {
		left -= b.regionCap(l, regions, index) + b.startLevel(l, regions)
	}
	return int(max(left, 0) / float64(max(hosts, 1)))
}

// mintRate returns the tokens per second of the issuer of one region that has a cap, by its
// clock. Regions without a cap mint nothing, so the others share the whole rate.
func (b Bounds) mintRate(l Limit, regions int) float64 {
	return l.RatePerSecond / (1 + maxClockError) / float64(max(b.mintingRegions(l, regions), 1))
}

// mintingRegions returns the number of regions that have a cap.
func (b Bounds) mintingRegions(l Limit, regions int) int {
	if b.capShare(l, regions) >= 1 {
		return regions
	}
	return int(min(math.Floor(b.allCaps(l)), float64(regions)))
}

// capShare returns what each region would get of evenly divided caps.
func (b Bounds) capShare(l Limit, regions int) float64 {
	return (l.Burst + b.capSurplus(l)) / float64(regions)
}

// capSurplus returns the part of the surplus that issuers may accumulate.
func (b Bounds) capSurplus(l Limit) float64 {
	surplus := b.surplus(l)
	if surplus >= minSafeSurplus {
		return capSurplusFraction * surplus
	}
	return surplus
}

// startLevel returns the tokens with which an issuer starts if Term.StartLevel reports so. The
// cap of each region is reduced by it, to not less than 1.
func (b Bounds) startLevel(l Limit, regions int) float64 {
	n := float64(regions)
	spare := (b.capSurplus(l) - minBurstSurplus) / 2
	return max(min(startTokens+l.RatePerSecond*startTime.Seconds()/n, spare/n, b.capShare(l, regions)-1), 0)
}

// SettleTime returns the time for which an issuer must have lent, by its clock, before its
// successor may start with a start level. Tokens that are usable in a window W were in a level
// or minted within W + t, so at most one start of a region counts in it. It is in whole
// milliseconds, as in the item.
func (b Bounds) SettleTime() time.Duration {
	settle := time.Duration(settleMargin * float64(b.Window+maxValidity))
	return settle.Truncate(time.Millisecond) + time.Millisecond
}

// holderTime returns the time for which a holder uses tokens of a given validity.
func holderTime(validity time.Duration) time.Duration {
	return time.Duration(holderFraction * float64(validity))
}
