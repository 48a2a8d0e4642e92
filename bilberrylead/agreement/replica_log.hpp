#ifndef BILBERRYLEAD_AGREEMENT_REPLICA_LOG_HPP
#define BILBERRYLEAD_AGREEMENT_REPLICA_LOG_HPP

#include "bilberrylead/agreement/log_entry.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace bilberrylead::agreement
{

/// The part of the log that no snapshot has replaced yet. Indexes are
/// consecutive; entries up to and including base_index are not held.
class replica_log
{
public:
    /// Clears the log; the next entry gets `index` + 1.
    void reset(std::uint64_t index, std::uint64_t term);

    /// Index just before the first entry held.
    std::uint64_t base_index() const;

    /// Index of the last entry, or base_index if none is held.
    std::uint64_t last_index() const;

    /// Term of the last entry, or of the base.
    std::uint64_t last_term() const;

    /// Term at an index; nullopt if the entry is no longer, or not yet, in the
    /// log.
    std::optional<std::uint64_t> term_at(std::uint64_t index) const;

    /// The entry at an index, which must be held.
    log_entry const& at(std::uint64_t index) const;

    /// Adds the entry with index last_index + 1.
    void append(log_entry next);

    /// Removes the entry at an index, which must be held, and all later ones.
    void truncate_from(std::uint64_t index);

    /// Drops all entries up to and including an index that is held.
    void drop_through(std::uint64_t index);

    /// Returns entries from an index on, at least one if there is one, within
    /// both limits. `max_bytes` counts payload bytes.
    std::vector<log_entry> slice(std::uint64_t from, std::size_t max_entries,
                                 std::size_t max_bytes) const;

    /// First index of the consecutive held entries that share the term at
    /// `index`.
    std::uint64_t first_of_term(std::uint64_t index) const;

private:
    std::uint64_t base = 0;
    std::uint64_t base_term = 0;
    std::deque<log_entry> entries;
};

} // namespace bilberrylead::agreement

#endif
