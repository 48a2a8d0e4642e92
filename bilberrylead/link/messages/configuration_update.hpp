#ifndef BILBERRYLEAD_LINK_MESSAGES_CONFIGURATION_UPDATE_HPP
#define BILBERRYLEAD_LINK_MESSAGES_CONFIGURATION_UPDATE_HPP

#include "bilberrylead/core/bytes.hpp"
#include "bilberrylead/core/ids.hpp"

namespace bilberrylead::link
{

/// Brings a revision: as a whole, or as what changed since another one.
struct configuration_update
{
    /// The revision that it brings.
    revision target = 0;
    /// The revision that the content is a delta from; 0 if it is whole.
    revision base = 0;
    /// The document, or the delta.
    bytes content;
};

} // namespace bilberrylead::link

#endif
