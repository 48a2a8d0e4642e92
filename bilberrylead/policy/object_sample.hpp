#ifndef BILBERRYLEAD_POLICY_OBJECT_SAMPLE_HPP
#define BILBERRYLEAD_POLICY_OBJECT_SAMPLE_HPP

#include "bilberrylead/policy/generator.hpp"

#include <algorithm>
#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>

namespace bilberrylead::policy
{

/// Counts of the requests for a sample of objects. Fixed memory, no allocation.
///
/// The sample holds every object whose hash starts with at least `level` zero
/// bits; the level rises when the table is full. All entry hosts hash alike, so
/// hosts that see requests for the same objects sample the same ones, and the
/// error of the sample is equal on all of them.
class object_sample
{
public:
    /// An object of the sample.
    struct entry
    {
        /// Hash of the object; 0 marks an unused entry.
        std::uint64_t hash = 0;
        /// Number of its requests.
        std::uint32_t count = 0;
    };

    /// Records a request for the object.
    void record(std::uint64_t object)
    {
        std::uint64_t const hash =
            std::max<std::uint64_t>(1, generator(object).next());
        if (std::countl_zero(hash) < this->sample_level)
        {
            return;
        }
        entry& found = this->table[this->slot_of(hash)];
        ++found.count;
        if (found.hash == hash)
        {
            return;
        }
        found.hash = hash;
        ++this->used;
        while (this->used > max_used)
        {
            this->raise_level();
        }
    }

    /// Number of requests for the object with that hash; 0 if it is not in the
    /// sample.
    std::uint32_t count_of(std::uint64_t hash) const
    {
        return this->table[this->slot_of(hash)].count;
    }

    /// True if objects with that hash belong to a sample of that level.
    static bool is_sampled(std::uint64_t hash, int level)
    {
        return hash != 0 && std::countl_zero(hash) >= level;
    }

    /// The table, with unused entries.
    auto const& entries() const
    {
        return this->table;
    }

    /// Number of zero bits that the hash of each object of the sample starts
    /// with: one in 2^level objects is in the sample.
    int level() const
    {
        return this->sample_level;
    }

private:
    /// Size of the table, a power of two. Up to 384 objects are counted
    /// exactly. The relative error beyond is about 1 / sqrt(192 to 384), 5 to
    /// 7 %.
    static constexpr std::size_t size = 512;
    static constexpr std::size_t max_used = size / 4 * 3;

    /// Index of the object's entry, or of the unused one that it would take.
    std::size_t slot_of(std::uint64_t hash) const
    {
        std::size_t index = hash % size;
        while (this->table[index].hash != 0 && this->table[index].hash != hash)
        {
            index = (index + 1) % size;
        }
        return index;
    }

    /// Removes the objects that do not belong to the next level.
    void raise_level()
    {
        ++this->sample_level;
        std::array<entry, size> const before = this->table;
        this->table.fill({});
        this->used = 0;
        for (entry const& each : before)
        {
            if (is_sampled(each.hash, this->sample_level))
            {
                this->table[this->slot_of(each.hash)] = each;
                ++this->used;
            }
        }
    }

    std::array<entry, size> table{};
    std::size_t used = 0;
    int sample_level = 0;
};

} // namespace bilberrylead::policy

#endif
