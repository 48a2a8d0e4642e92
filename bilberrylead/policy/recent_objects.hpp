#ifndef BILBERRYLEAD_POLICY_RECENT_OBJECTS_HPP
#define BILBERRYLEAD_POLICY_RECENT_OBJECTS_HPP

#include <array>
#include <cstddef>
#include <cstdint>

namespace bilberrylead::policy
{

/// The objects of this entry host's requests that an upstream worked on most
/// recently. They are in the upstream's caches if those hold as many. Fixed
/// memory, no allocation; the least recently used object is evicted.
class recent_objects
{
public:
    /// Records that the upstream worked on the object.
    void record(std::uint64_t object)
    {
        ++this->use_count;
        std::size_t oldest = 0;
        for (std::size_t index = 0; index < this->entries.size(); ++index)
        {
            if (this->entries[index].object == object)
            {
                this->entries[index].last_use = this->use_count;
                return;
            }
            if (this->entries[index].last_use < this->entries[oldest].last_use)
            {
                oldest = index;
            }
        }
        this->entries[oldest] = {object, this->use_count};
    }

    /// True if the upstream recently worked on the object.
    bool contains(std::uint64_t object) const
    {
        for (entry const& item : this->entries)
        {
            if (item.object == object && item.last_use > 0)
            {
                return true;
            }
        }
        return false;
    }

private:
    /// Maximum number of objects; upstreams cache a few dozen.
    static constexpr std::size_t capacity = 24;

    struct entry
    {
        std::uint64_t object = 0;
        std::uint64_t last_use = 0;
    };

    std::array<entry, capacity> entries{};
    std::uint64_t use_count = 0;
};

} // namespace bilberrylead::policy

#endif
