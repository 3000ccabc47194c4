# Warnings for the project's own code. Generated sources opt out.
function(auburnmux_warnings TARGET)
  target_compile_options(${TARGET} PRIVATE -Wall -Wextra -Wpedantic -Werror
 -Wshadow
                                           -Wno-missing-field-initializers)
endfunction()

# Declares the test program test_NAME from test/*.cpp, where there are any.
function(auburnmux_tests NAME)
  file(GLOB TESTS CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/test/*.cpp)
  if(TESTS AND AUBURNMUX_TESTS)
    add_executable(test_${NAME} ${TESTS}
                   ${CMAKE_SOURCE_DIR}/packages/base/test/support/TestMain.cpp)
    target_include_directories(test_${NAME}
                               PRIVATE ${CMAKE_SOURCE_DIR}/packages)
    target_link_libraries(test_${NAME} PRIVATE ${ARGN} PkgConfig::CPPUTEST
                                               rapidcheck)
    auburnmux_warnings(test_${NAME})
    add_test(NAME ${NAME} COMMAND test_${NAME})
    set_tests_properties(
      ${NAME} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=200"
                         TIMEOUT 300)
  endif()
endfunction()

# Declares the library auburnmux_NAME from src/*.cpp and, where test/*.cpp
# exists, the test program test_NAME, which ctest runs with a fixed seed.
#
#   auburnmux_package(NAME [LINK targets...] [TEST_LINK targets...])
function(auburnmux_package NAME)
  cmake_parse_arguments(ARG "" "" "LINK;TEST_LINK" ${ARGN})
  file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
  if(SOURCES)
    add_library(auburnmux_${NAME} STATIC ${SOURCES})
    target_include_directories(auburnmux_${NAME}
                               PUBLIC ${CMAKE_SOURCE_DIR}/packages)
    target_link_libraries(auburnmux_${NAME} PUBLIC ${ARG_LINK})
    auburnmux_warnings(auburnmux_${NAME})
  else()
    add_library(auburnmux_${NAME} INTERFACE)
    target_include_directories(auburnmux_${NAME}
                               INTERFACE ${CMAKE_SOURCE_DIR}/packages)
    target_link_libraries(auburnmux_${NAME} INTERFACE ${ARG_LINK})
  endif()
  auburnmux_tests(${NAME} auburnmux_${NAME} ${ARG_TEST_LINK})
endfunction()
