#ifndef BILBERRYLEAD_AGREEMENT_MEMBERSHIP_HISTORY_HPP
#define BILBERRYLEAD_AGREEMENT_MEMBERSHIP_HISTORY_HPP

#include "bilberrylead/agreement/membership.hpp"

#include <cstdint>
#include <vector>

namespace bilberrylead::agreement
{

/// Memberships by the index of the entry that brought them. The latest one
/// is in force, committed or not; a truncated log brings back the one
/// before.
class membership_history
{
public:
    /// Forgets everything but this membership.
    void reset(std::uint64_t index, membership const& value);

    /// Takes the membership of a new last entry.
    void put(std::uint64_t index, membership const& value);

    /// Forgets those from an index on.
    void truncate_from(std::uint64_t index);

    /// Forgets those that a snapshot at this index has replaced.
    void drop_before(std::uint64_t index);

    /// The one in force; empty if none is known.
    membership const& current() const;

    /// Index of the entry that brought the one in force.
    std::uint64_t current_index() const;

    /// The one before the one in force; empty if none is known.
    membership const& previous() const;

    /// The one that was in force at an index; empty if none is known.
    membership const& at(std::uint64_t index) const;

private:
    struct row
    {
        std::uint64_t index = 0;
        membership value;
    };
    std::vector<row> rows;
};

} // namespace bilberrylead::agreement

#endif
