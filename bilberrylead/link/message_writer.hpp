#ifndef BILBERRYLEAD_LINK_MESSAGE_WRITER_HPP
#define BILBERRYLEAD_LINK_MESSAGE_WRITER_HPP

#include "bilberrylead/link/message.hpp"

#include <nlohmann/json.hpp>

namespace bilberrylead::link
{

/// The message as a list of fields, the first of which is its tag.
nlohmann::json write_message(message const& content);

} // namespace bilberrylead::link

#endif
