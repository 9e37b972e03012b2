package quota

import (
	"slices"
	"time"
)

// followUp is a message that is due to the next other region after one has answered that
// it lacks tokens.
type followUp struct {
	wants []Want
	tried []string
}

// other returns another region than the own one and those that were tried, each in turn, ""
// if there is none.
func (c *Client) other(now time.Duration, tried []string) string {
	for range c.regions {
		c.rotation++
		region := c.regions[c.rotation%len(c.regions)]
		if region != c.region && !c.isSuspected(now, region) && !slices.Contains(tried, region) {
			return region
		}
	}
	return ""
}

// askElsewhere appends the message to another region for what the own one lacks.
func (c *Client) askElsewhere(now time.Duration, list []Message) []Message {
	wants := c.cache.ElsewhereWants(now)
	for id, m := range c.messages {
		if m.kind == urgent && m.Region == c.region && now-m.sentAt >= earlyElsewhere && c.early < id {
			c.early = id
			wants = append(wants, c.cache.MissingWants(now)...)
		}
	}
	if len(wants) == 0 {
		return list
	}
	region := c.other(now, nil)
	if region == "" {
		c.cache.Failed(LendRequest{Wants: wants})
		c.cache.SetUsedUp(now, wants)
		c.resolve(now)
		return list
	}
	return append(list, c.message(now, elsewhere, region, wants))
}

// askNext prepares the message to the next other region after m brought too little for
// some of its wants. If all were asked, or the answer would come after the deadlines of the
// requests that wait, the quota is used up, provided that the own issuer lacks tokens too.
func (c *Client) askNext(now time.Duration, m *Message, lacking []Want) {
	f := followUp{tried: append(slices.Clone(m.tried), m.Region)}
	more := c.other(now, f.tried) != ""
	for _, want := range lacking {
		// The next answer is expected to take as long as this one.
		if more && c.waitsUntil(want.Workspace) >= now+(now-m.sentAt) {
			if next, ok := c.cache.FollowUp(now, want.Workspace); ok {
				f.wants = append(f.wants, next)
				continue
			}
		}
		c.cache.SetUsedUp(now, []Want{want})
	}
	if len(f.wants) > 0 {
		c.followUps = append(c.followUps, f)
	}
}

// sendFollowUps appends the messages that askNext prepared.
func (c *Client) sendFollowUps(now time.Duration, list []Message) []Message {
	for _, f := range c.followUps {
		region := c.other(now, f.tried)
		if region == "" {
			c.cache.Failed(LendRequest{Wants: f.wants})
			c.cache.SetUsedUp(now, f.wants)
			c.resolve(now)
			continue
		}
		m := c.message(now, elsewhere, region, f.wants)
		c.messages[m.ID].tried = f.tried
		list = append(list, m)
	}
	c.followUps = nil
	return list
}

// waitsUntil returns the latest deadline of the requests of a workspace that wait, 0 if
// there are none.
func (c *Client) waitsUntil(workspace string) time.Duration {
	var latest time.Duration
	for _, w := range c.waiters {
		if w.workspace == workspace {
			latest = max(latest, w.deadline)
		}
	}
	return latest
}

// emptyWants returns the wants for which an answer lacks tokens.
func emptyWants(wants []Want, loans []Loan) []Want {
	var list []Want
	for _, want := range wants {
		if slices.ContainsFunc(loans, func(l Loan) bool { return l.Empty && l.Workspace == want.Workspace }) {
			list = append(list, want)
		}
	}
	return list
}
