#include "fuchsiaproxy/model/adoption.hpp"

#include <utility>

namespace fuchsiaproxy::model
{

bool adoption::offer(std::shared_ptr<configuration const> offered)
{
    if (!offered || offered->version <= version())
    {
        return false;
    }
    current_ = std::move(offered);
    return true;
}

base::config_version adoption::version() const noexcept
{
    return current_ ? current_->version : base::config_version(0);
}

bool adoption::ready() const noexcept
{
    return current_ != nullptr;
}

} // namespace fuchsiaproxy::model
