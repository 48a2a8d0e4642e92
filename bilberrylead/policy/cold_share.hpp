#ifndef BILBERRYLEAD_POLICY_COLD_SHARE_HPP
#define BILBERRYLEAD_POLICY_COLD_SHARE_HPP

#include <cstdint>
#include <optional>

namespace bilberrylead::policy
{

/// Part of a bound over all entry hosts that they use together: their number
/// may be old by one host that came.
inline constexpr double shared_bound_utilization = 0.8;

/// What one entry host may send to a cold upstream, so that all of them
/// together keep the bound without hearing of each other.
///
/// Load it answers: an upstream with cold caches, whose objects are asked for
/// by more entry hosts than it may get requests in a second. One request of
/// each of them is too much already, so only a part of the hosts sends to it,
/// another part to each upstream.
struct cold_share
{
    /// Requests a second, beside one that is saved up.
    double requests_per_second = 0;
    /// Part of the entry hosts that send to one cold upstream, 0 to 1.
    double host_fraction = 1;
    /// Hash of this entry host's name.
    std::uint64_t host_hash = 0;
    /// Number of the region whose cold upstreams it sends to; none: of every
    /// region. The bound is shared among the entry hosts of one region, so
    /// that a host need not know where the callers of others are sent; once
    /// warm an upstream gets work from everywhere.
    std::optional<std::uint32_t> region = std::nullopt;
};

/// The share of one of so many entry hosts, where all of them together may
/// send `bound` requests in any second; `host` is the hash of its name.
inline cold_share cold_share_of(double bound, double senders,
                                std::uint64_t host_hash)
{
    /// Part that is used where chance picks the hosts: so small that more of
    /// them than the bound allows are picked for hardly any upstream.
    constexpr double sampled_utilization = 0.4;
    /// Requests a second that a host which sends may send at least: without
    /// any, nobody would see that the upstream is warm again.
    constexpr double min_rate = 0.1;
    double const rate = shared_bound_utilization * bound / senders - 1;
    if (rate >= min_rate)
    {
        return {rate, 1, host_hash, {}};
    }
    double const sampled_hosts = sampled_utilization * bound / (1 + min_rate);
    return {min_rate,
            sampled_hosts < senders ? sampled_hosts / senders : 1,
            host_hash,
            {}};
}

} // namespace bilberrylead::policy

#endif
