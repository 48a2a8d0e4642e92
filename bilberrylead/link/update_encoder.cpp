#include "bilberrylead/link/update_encoder.hpp"

#include <variant>

namespace bilberrylead::link
{

bytes const& update_encoder::encode(message const& content)
{
    configuration_update const* const update =
        std::get_if<configuration_update>(&content);
    if (update == nullptr)
    {
        this->other = link::encode(content);
        return this->other;
    }
    // A revision has one content, so its numbers tell it.
    bool const is_kept = update->target != 0 &&
                         update->target == this->kept_target &&
                         update->base == this->kept_base;
    if (!is_kept)
    {
        this->kept = link::encode(content);
        this->kept_target = update->target;
        this->kept_base = update->base;
    }
    return this->kept;
}

} // namespace bilberrylead::link
