#ifndef BILBERRYLEAD_AGREEMENT_MEMBERSHIP_HISTORY_HPP
#define BILBERRYLEAD_AGREEMENT_MEMBERSHIP_HISTORY_HPP

#include "bilberrylead/agreement/membership.hpp"

#include <cstdint>
#include <vector>

namespace bilberrylead::agreement
{

/// Memberships by the index of the log entry that introduced them. The latest
/// one is in force, committed or not; truncating the log restores the previous
/// one.
class membership_history
{
public:
    /// Discards everything except this membership.
    void reset(std::uint64_t index, membership const& value);

    /// Adds the membership of a new last entry.
    void put(std::uint64_t index, membership const& value);

    /// Removes memberships introduced at `index` or later.
    void truncate_from(std::uint64_t index);

    /// Removes memberships that a snapshot at `index` makes obsolete.
    void drop_before(std::uint64_t index);

    /// The membership in force; empty if there is none.
    membership const& current() const;

    /// Index of the entry that introduced the membership in force; 0 if there
    /// is none.
    std::uint64_t current_index() const;

    /// The membership before the one in force; empty if there is none.
    membership const& previous() const;

    /// The membership in force at `index`; empty if there is none.
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
