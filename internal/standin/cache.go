package standin

import (
	"container/list"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken is the usual rough size of a token.
const bytesPerToken = 4

// prefixCache is a least recently used cache of prompt prefixes. An entry is a
// prefix that ends at a message; its size is the tokens of that last message.
type prefixCache struct {
	mu      sync.Mutex
	limit   int
	tokens  int
	entries map[uint64]*list.Element
	order   *list.List
}

type prefix struct {
	hash   uint64
	tokens int
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, entries: make(map[uint64]*list.Element), order: list.New()}
}

// use looks up a prompt, stores it with its answer, and returns the prompt's
// tokens and how many of them were cached.
func (c *prefixCache) use(messages []chatMessage, answer string) (tokens, cached int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	digest := xxhash.New()
	hit := true
	for _, m := range messages {
		n := extend(digest, m.Role, m.Content)
		tokens += n
		hit = hit && c.touch(digest.Sum64())
		if hit {
			cached += n
		} else {
			c.add(prefix{hash: digest.Sum64(), tokens: n})
		}
	}
	n := extend(digest, "assistant", answer)
	c.add(prefix{hash: digest.Sum64(), tokens: n})
	return tokens, cached
}

func extend(digest *xxhash.Digest, role, content string) int {
	_, _ = digest.WriteString(role + "\x00" + content + "\x00")
	return len(content)/bytesPerToken + 1
}

func (c *prefixCache) touch(hash uint64) bool {
	e, found := c.entries[hash]
	if found {
		c.order.MoveToFront(e)
	}
	return found
}

func (c *prefixCache) add(p prefix) {
	if c.touch(p.hash) {
		return
	}
	c.entries[p.hash] = c.order.PushFront(p)
	c.tokens += p.tokens
	for c.tokens > c.limit {
		last := c.order.Back()
		old := c.order.Remove(last).(prefix)
		delete(c.entries, old.hash)
		c.tokens -= old.tokens
	}
}
