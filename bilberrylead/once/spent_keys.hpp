#ifndef BILBERRYLEAD_ONCE_SPENT_KEYS_HPP
#define BILBERRYLEAD_ONCE_SPENT_KEYS_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/once/once_settings.hpp"
#include "bilberrylead/once/work_digest.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <vector>

namespace bilberrylead::once
{

/// Keys whose work ran, or may have run, and whose answer is no longer
/// kept: all that is left to know is that it must not run again. 16 bytes
/// each, so that they can be kept far longer than answers. Used by one
/// thread.
class spent_keys
{
public:
    /// Keys that came in the same stretch of time and leave together.
    struct bucket
    {
        /// Which one, counted in stretches since the log began.
        std::int64_t number = 0;
        /// Its keys, sorted.
        std::vector<work_digest> keys;
    };

    /// Makes an empty set with these bounds.
    explicit spent_keys(once_settings const& bounds);

    /// Adds a key. False, and nothing is added, if there is no room.
    bool add(work_digest const& key, duration now);
    /// True if the key is held.
    bool contains(work_digest const& key) const;
    /// Drops the keys that were held for the whole retention.
    void expire(duration now);
    /// Keys held.
    std::size_t size() const;

    /// All stretches, the oldest first, for a snapshot.
    std::vector<bucket> buckets() const;
    /// Adds a stretch of a snapshot; false if it is not after the last one
    /// or not sorted.
    bool restore(bucket restored);

private:
    void start_bucket(std::int64_t number);

    /// Stretches that the retention is made of: keys are held up to an
    /// eighth longer, and a look-up searches nine lists.
    static constexpr std::int64_t bucket_count = 8;

    std::size_t max_size;
    duration bucket_length;
    std::deque<bucket> closed_buckets;
    std::int64_t open_bucket_number = 0;
    std::set<work_digest> open_bucket;
    std::size_t key_count = 0;
};

} // namespace bilberrylead::once

#endif
