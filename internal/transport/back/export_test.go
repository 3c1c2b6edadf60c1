package back

// PoolCount returns the number of connection pools.
func (client *Client) PoolCount() int {
	count := 0
	client.pools.Range(func(_, _ any) bool {
		count++
		return true
	})
	return count
}
