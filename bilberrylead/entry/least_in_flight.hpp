#ifndef BILBERRYLEAD_ENTRY_LEAST_IN_FLIGHT_HPP
#define BILBERRYLEAD_ENTRY_LEAST_IN_FLIGHT_HPP

#include "bilberrylead/entry/upstream_choice.hpp"

#include <cstddef>
#include <optional>
#include <span>

namespace bilberrylead::entry
{

/// Takes the candidate with the fewest own requests under way; among equals
/// one that is not shunned, then one of the own zone, then the next in turn.
/// Never more than the candidate's slots: what is beyond them would wait
/// behind a slot where it can neither be moved nor be refused in time.
class least_in_flight
{
public:
    /// The place of the chosen candidate, or nothing if all are full.
    std::optional<std::size_t>
    choose(std::span<upstream_candidate const> candidates);

private:
    std::size_t turn = 0;
};

} // namespace bilberrylead::entry

#endif
