# Installation and the exported CMake package. Included after all targets are declared.

include(CMakePackageConfigHelpers)
set(package_dir ${CMAKE_INSTALL_LIBDIR}/cmake/fuchsiaproxy)

get_property(libraries GLOBAL PROPERTY FUCHSIAPROXY_INSTALLED_LIBRARIES)
install(TARGETS fuchsiaproxy_options ${libraries} EXPORT fuchsiaproxyTargets
  ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
install(TARGETS fuchsiad fuchsiactl RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
# The stand-ins are used only by tests and the demo.
install(DIRECTORY src/include/fuchsiaproxy DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}
  FILES_MATCHING PATTERN "*.hpp" PATTERN "standin" EXCLUDE)

install(DIRECTORY docs DESTINATION ${CMAKE_INSTALL_DOCDIR})
install(FILES README.md CONTRIBUTING.md CHANGES.md DESTINATION ${CMAKE_INSTALL_DOCDIR})
install(DIRECTORY examples contrib DESTINATION ${CMAKE_INSTALL_DOCDIR})

install(EXPORT fuchsiaproxyTargets NAMESPACE fuchsiaproxy:: DESTINATION ${package_dir})
configure_package_config_file(cmake/fuchsiaproxyConfig.cmake.in
  ${PROJECT_BINARY_DIR}/fuchsiaproxyConfig.cmake INSTALL_DESTINATION ${package_dir})
# Before version 1 a minor version may change the interface.
write_basic_package_version_file(${PROJECT_BINARY_DIR}/fuchsiaproxyConfigVersion.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES ${PROJECT_BINARY_DIR}/fuchsiaproxyConfig.cmake
  ${PROJECT_BINARY_DIR}/fuchsiaproxyConfigVersion.cmake DESTINATION ${package_dir})
