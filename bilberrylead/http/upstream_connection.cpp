#include "bilberrylead/http/upstream_connection.hpp"

#include "bilberrylead/link/quiet_socket.hpp"

namespace bilberrylead::http
{

bool upstream_connection::spoiled()
{
    return this->buffer.size() > 0 || !this->socket.is_open() ||
           !link::is_quiet(this->socket.native_handle());
}

} // namespace bilberrylead::http
