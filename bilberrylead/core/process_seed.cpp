#include "bilberrylead/core/process_seed.hpp"

#include <xxhash.h>

#include <string>

namespace bilberrylead
{

process_seed::process_seed(host_id const& host, std::uint64_t incarnation)
    : value(XXH3_64bits_withSeed(host.text().data(), host.text().size(),
                                 incarnation))
{
}

std::uint64_t process_seed::of(random_sequence sequence) const
{
    return XXH3_64bits_withSeed(&sequence, sizeof(sequence), this->value);
}

} // namespace bilberrylead
