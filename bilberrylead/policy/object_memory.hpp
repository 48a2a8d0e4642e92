#ifndef BILBERRYLEAD_POLICY_OBJECT_MEMORY_HPP
#define BILBERRYLEAD_POLICY_OBJECT_MEMORY_HPP

#include <array>
#include <cstddef>
#include <cstdint>

namespace bilberrylead::policy
{

/// The objects that this entry host had an upstream work on of late: the
/// upstream has them in its caches, if those hold as many. Fixed memory, no
/// allocation; the object that was used longest ago gives way.
class object_memory
{
public:
    /// The upstream worked on the object.
    void note(std::uint64_t object)
    {
        ++this->uses;
        std::size_t oldest = 0;
        for (std::size_t place = 0; place < this->entries.size(); ++place)
        {
            if (this->entries[place].object == object)
            {
                this->entries[place].used = this->uses;
                return;
            }
            if (this->entries[place].used < this->entries[oldest].used)
            {
                oldest = place;
            }
        }
        this->entries[oldest] = {object, this->uses};
    }

    /// True if it worked on the object of late.
    bool knows(std::uint64_t object) const
    {
        for (entry const& each : this->entries)
        {
            if (each.object == object && each.used > 0)
            {
                return true;
            }
        }
        return false;
    }

private:
    /// Objects that are remembered; upstreams hold some dozens.
    static constexpr std::size_t capacity = 24;

    struct entry
    {
        std::uint64_t object = 0;
        std::uint64_t used = 0;
    };

    std::array<entry, capacity> entries{};
    std::uint64_t uses = 0;
};

} // namespace bilberrylead::policy

#endif
