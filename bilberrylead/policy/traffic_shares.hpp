#ifndef BILBERRYLEAD_POLICY_TRAFFIC_SHARES_HPP
#define BILBERRYLEAD_POLICY_TRAFFIC_SHARES_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

namespace bilberrylead::policy
{

/// Which region serves how much of each region's callers, in thousandths.
/// Whole numbers, so that every host computes the same; a row always adds
/// up to 1000. A share that is still with a lost region is told "not run".
class traffic_shares
{
public:
    /// A row's sum.
    static constexpr std::uint32_t whole = 1000;

    /// Every region serves its own callers.
    explicit traffic_shares(std::size_t regions = 0);

    /// Number of regions.
    std::size_t regions() const
    {
        return this->count;
    }

    /// Share of region `from`'s callers that `to` serves.
    std::uint32_t at(std::size_t from, std::size_t to) const;

    /// Moves up to `amount` of `from`'s callers between two regions; how
    /// much was there to move.
    std::uint32_t move(std::size_t from, std::size_t source, std::size_t target,
                       std::uint32_t amount);

    /// Largest share of any region's callers that is elsewhere in `other`.
    std::uint32_t largest_change(traffic_shares const& other) const;

    /// Goes towards `target`, moving at most `cap` of each region's callers.
    void approach(traffic_shares const& target, std::uint32_t cap);

    friend bool operator==(traffic_shares const&,
                           traffic_shares const&) = default;

private:
    std::uint32_t& cell(std::size_t from, std::size_t to);

    std::size_t count;
    std::vector<std::uint32_t> cells;
};

} // namespace bilberrylead::policy

#endif
