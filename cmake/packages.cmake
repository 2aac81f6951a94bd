# Rules that declare the project's libraries, programs and tests.

find_package(Threads REQUIRED)
find_package(Boost 1.74 REQUIRED COMPONENTS system)
find_package(nlohmann_json REQUIRED)
find_package(prometheus-cpp CONFIG REQUIRED)
find_package(OpenSSL REQUIRED)
find_library(CPPUTEST_LIBRARY CppUTest REQUIRED)
find_library(LOG4CXX_LIBRARY log4cxx REQUIRED)
find_library(READLINE_LIBRARY readline REQUIRED)

add_library(fuchsiaproxy_options INTERFACE)
target_include_directories(fuchsiaproxy_options INTERFACE
  $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/src/include>
  $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
target_compile_options(fuchsiaproxy_options INTERFACE
  $<BUILD_INTERFACE:-Wall -Wextra -Wpedantic -Wshadow -Wno-unused-parameter>)
# Boost.Beast includes headers that Boost 1.74 marks as deprecated.
target_compile_definitions(fuchsiaproxy_options INTERFACE
  FUCHSIAPROXY_VERSION="${PROJECT_VERSION}"
  BOOST_ALLOW_DEPRECATED_HEADERS BOOST_ERROR_CODE_HEADER_ONLY BOOST_BIND_GLOBAL_PLACEHOLDERS)
target_link_libraries(fuchsiaproxy_options INTERFACE Threads::Threads)

# fuchsiaproxy_package(NAME [LIBRARIES lib...] [TEST_LIBRARIES lib...])
#
# Builds fuchsiaproxy_NAME from src/NAME/*.cpp and, from src/NAME/*_test.cpp, one test program
# NAME_test, each test group of which is registered with ctest. Each src/NAME/X_bench.cpp becomes
# a program X_bench, unless NO_BENCHES is given. TEST_LIBRARIES are linked to the test
# program only.
function(fuchsiaproxy_package name)
  cmake_parse_arguments(ARG "NO_BENCHES" "" "LIBRARIES;TEST_LIBRARIES" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/*.cpp)
  set(tests ${sources})
  list(FILTER sources EXCLUDE REGEX "_(test|bench)\\.cpp$")
  list(FILTER tests INCLUDE REGEX "_test\\.cpp$")
  file(GLOB benches CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/*_bench.cpp)
  if(sources)
    add_library(fuchsiaproxy_${name} STATIC ${sources})
    target_link_libraries(fuchsiaproxy_${name} PUBLIC fuchsiaproxy_options ${ARG_LIBRARIES})
  else()
    add_library(fuchsiaproxy_${name} INTERFACE)
    target_link_libraries(fuchsiaproxy_${name} INTERFACE fuchsiaproxy_options ${ARG_LIBRARIES})
  endif()
  add_library(fuchsiaproxy::${name} ALIAS fuchsiaproxy_${name})
  if(tests)
    fuchsiaproxy_tests(${name}_test SOURCES ${tests} LIBRARIES fuchsiaproxy_${name} ${ARG_TEST_LIBRARIES})
  endif()
  if(ARG_NO_BENCHES)
    set(benches "")
  endif()
  foreach(file ${benches})
    get_filename_component(bench ${file} NAME_WE)
    add_executable(${bench} ${file})
    target_link_libraries(${bench} PRIVATE fuchsiaproxy_${name})
  endforeach()
endfunction()

# fuchsiaproxy_tests(NAME SOURCES file... LIBRARIES lib...)
function(fuchsiaproxy_tests name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LIBRARIES" ${ARGN})
  add_executable(${name} ${ARG_SOURCES} ${PROJECT_SOURCE_DIR}/src/testing/test_main.cpp)
  target_link_libraries(${name} PRIVATE ${ARG_LIBRARIES} ${CPPUTEST_LIBRARY})
  target_compile_definitions(${name} PRIVATE FUCHSIAPROXY_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
  set(groups "")
  foreach(file ${ARG_SOURCES})
    file(STRINGS ${file} lines REGEX "^TEST_GROUP\\(")
    foreach(line ${lines})
      string(REGEX REPLACE "^TEST_GROUP\\(([A-Za-z0-9_]+)\\).*" "\\1" group "${line}")
      list(APPEND groups ${group})
    endforeach()
    set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${file})
  endforeach()
  list(REMOVE_DUPLICATES groups)
  foreach(group ${groups})
    add_test(NAME ${name}.${group} COMMAND ${name} -sg ${group} -v)
    set_tests_properties(${name}.${group} PROPERTIES TIMEOUT 120)
  endforeach()
endfunction()

# fuchsiaproxy_program(NAME LIBRARIES lib...): builds src/NAME/*.cpp as the program NAME.
function(fuchsiaproxy_program name)
  cmake_parse_arguments(ARG "" "" "LIBRARIES" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/*.cpp)
  list(FILTER sources EXCLUDE REGEX "_test\\.cpp$")
  if(sources)
    add_executable(${name} ${sources})
    target_link_libraries(${name} PRIVATE ${ARG_LIBRARIES})
  endif()
endfunction()
