#ifndef BILBERRYLEAD_POLICY_COLD_SHARE_HPP
#define BILBERRYLEAD_POLICY_COLD_SHARE_HPP

#include <cstdint>
#include <optional>

namespace bilberrylead::policy
{

/// Fraction of a bound for all entry hosts that they use together. The
/// remainder covers one new host that their host count does not include yet.
inline constexpr double shared_bound_utilization = 0.8;

/// What one entry host may send to a cold upstream, so that all of them
/// together keep a bound without communicating.
///
/// Load it handles: an upstream with cold caches whose objects are requested by
/// more entry hosts than the number of requests that it may receive in a
/// second. Even one request from each host exceeds the bound, so that only a
/// fraction of the hosts sends to it, a different fraction for each upstream.
struct cold_share
{
    /// Requests per second, in addition to one saved token.
    double requests_per_second = 0;
    /// Fraction of the entry hosts that send to one cold upstream, 0 to 1.
    double host_fraction = 1;
    /// Hash of this entry host's name.
    std::uint64_t host_hash = 0;
    /// Number of the region whose cold upstreams this host sends to; every
    /// region if empty. The bound is divided among the entry hosts of one
    /// region, so that a host does not need to know where callers of other
    /// regions are sent. A warm upstream receives requests from every region.
    std::optional<std::uint32_t> region = std::nullopt;
};

/// Returns the share of one of `senders` entry hosts that may together send
/// `bound` requests in any second; `host_hash` is the hash of its name.
inline cold_share cold_share_of(double bound, double senders,
                                std::uint64_t host_hash)
{
    /// Fraction of the bound that is used if the sending hosts are selected at
    /// random; so low that hardly any upstream gets more senders than the bound
    /// allows.
    constexpr double sampled_utilization = 0.4;
    /// Minimum requests per second of a sending host. Without any request, no
    /// host would notice that the upstream is warm again.
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
