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

/// Keys whose work ran, or may have run, and whose answer is no longer kept.
/// Only the fact that the work must not run again is stored, in 16 bytes per
/// key, so that keys can be kept far longer than answers. Used by one thread.
class spent_keys
{
public:
    /// Keys that were added in the same time bucket and expire together.
    struct bucket
    {
        /// Index of the bucket, counted from log time 0.
        std::int64_t number = 0;
        /// The keys, sorted.
        std::vector<work_digest> keys;
    };

    /// Starts empty with the given bounds.
    explicit spent_keys(once_settings const& bounds);

    /// Adds a key, `now` in log time. Returns false and adds nothing if the
    /// maximum number of keys is reached.
    bool add(work_digest const& key, duration now);
    /// True if the key is contained.
    bool contains(work_digest const& key) const;
    /// Drops the keys that were kept for the full retention.
    void expire(duration now);
    /// Number of keys.
    std::size_t size() const;

    /// All buckets, oldest first, for a snapshot.
    std::vector<bucket> buckets() const;
    /// Adds a bucket of a snapshot. Returns false if it is older than the last
    /// one or not sorted.
    bool restore(bucket restored);

private:
    void start_bucket(std::int64_t number);

    /// Number of buckets that the retention is divided into. Keys are kept up
    /// to one eighth longer than the retention, and a look-up searches nine
    /// buckets.
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
